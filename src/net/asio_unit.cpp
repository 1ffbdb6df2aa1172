// The one unit that compiles Asio and Beast, so that every other unit only declares them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
