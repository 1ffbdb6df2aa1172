# Compiler, warnings, sanitizers and the libraries from Debian's packages.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

set(HAWTHORNNOTCH_SANITIZE "" CACHE STRING "address, thread or empty")
if(HAWTHORNNOTCH_SANITIZE)
  add_compile_options(-O1)
  add_compile_options(-fsanitize=${HAWTHORNNOTCH_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${HAWTHORNNOTCH_SANITIZE})
endif()

find_program(CCACHE ccache)
if(CCACHE)
  # Folder-independent hashes let several checkouts share one cache.
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
    CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()

# g++ 12 reports these two falsely: on string concatenation and on coroutine frames of Asio.
add_compile_options(-Wall -Wextra -Wshadow -Wno-restrict -Wno-mismatched-new-delete)
# Sanitizers make it report uninitialized members and Asio's fences falsely: no errors there.
if(HAWTHORNNOTCH_SANITIZE)
  add_compile_options(-Wno-tsan)
else()
  add_compile_options(-Werror)
endif()
add_compile_definitions(
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
  BOOST_LOG_DYN_LINK BOOST_ALL_NO_LIB)

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log json thread)
find_package(OpenSSL REQUIRED)
set(HAWTHORNNOTCH_IO_LIBRARIES
  Boost::log Boost::json Boost::thread OpenSSL::Crypto docopt Threads::Threads)

option(HAWTHORNNOTCH_ENTRY_ONLY "Build hawthornnotch-entry and nothing else" OFF)
if(HAWTHORNNOTCH_ENTRY_ONLY)
  return()
endif()
set(HAWTHORNNOTCH_EDGE_LIBRARIES
  jsonrpccpp-server jsonrpccpp-client jsonrpccpp-common jsoncpp)
