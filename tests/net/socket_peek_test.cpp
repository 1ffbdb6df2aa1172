#include "net/socket_peek.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "test_case.h"

namespace hawthornnotch::net::internal {
namespace {

// Two ends of one connection over loopback.
struct connected_pair {
  connected_pair() {
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
  }
  asio::io_context context;
  tcp::socket near{context};
  tcp::socket far{context};
};

// A peek that blocks is freed by closing the far end, so that the test fails instead of hanging.
TEST_THAT(socket_peek, does_not_wait_on_a_socket_with_nothing_to_read) {
  connected_pair pair;
  auto seen = std::async(std::launch::async, [&] { return peek(pair.near); });
  constexpr std::chrono::seconds blocked(20);
  const bool returned = seen.wait_for(blocked) == std::future_status::ready;
  pair.far.close();
  CPPUNIT_ASSERT(returned);
  CPPUNIT_ASSERT(seen.get() == arrival::none);
}

TEST_THAT(socket_peek, tells_bytes_from_the_end_and_takes_nothing) {
  connected_pair pair;
  asio::write(pair.far, asio::buffer("x", 1));
  pair.near.wait(tcp::socket::wait_read);
  CPPUNIT_ASSERT(peek(pair.near) == arrival::bytes);
  CPPUNIT_ASSERT(peek(pair.near) == arrival::bytes);
  char byte = 0;
  pair.near.receive(asio::buffer(&byte, 1));
  pair.far.close();
  pair.near.wait(tcp::socket::wait_read);
  CPPUNIT_ASSERT(peek(pair.near) == arrival::end);
}

}  // namespace
}  // namespace hawthornnotch::net::internal
