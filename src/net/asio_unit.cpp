// Compiles the separate sources of Asio and Beast; all other units only use their declarations.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
