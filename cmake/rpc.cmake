# libjsonrpccpp's client headers carry dynamic exception specifications, which C++17 removed.
# One unit is built as C++14 for them; every other unit sees only its plain header.
set_source_files_properties(src/rpc/blocking_call.cpp
  PROPERTIES COMPILE_OPTIONS "-std=c++14;-Wno-deprecated")
