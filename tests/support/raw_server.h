// A server that writes bytes as a test says, whether they are HTTP or not.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_RAW_SERVER_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_RAW_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::test {

// One accepted connection, written to by its own thread.
class raw_connection {
 public:
  explicit raw_connection(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}
  // \returns the head of the next request; empty once the peer has closed.
  std::string read_head();
  // \returns false once the peer has closed.
  bool write(std::string_view bytes);
  // Writes the bytes again and again, as fast as the peer takes them, until it closes or the bound
  // is reached.  \returns whether the peer has closed.
  bool write_until_closed(std::string_view bytes);
  // The same with a pause after each, for some seconds at most.
  bool trickle_until_closed(std::string_view bytes);
  void close();

 private:
  boost::asio::ip::tcp::socket socket_;
  std::string unread_;
};

// \returns the value of a header in a request's head; empty where it is missing.
std::string find_header(const std::string& head, const std::string& name);

// Calls a script for each connection.
class raw_server {
 public:
  using script = std::function<void(raw_connection&)>;
  explicit raw_server(script what);
  ~raw_server();
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  [[nodiscard]] endpoint address() const;
  [[nodiscard]] std::size_t connections();

 private:
  void accept();

  script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::list<raw_connection> connections_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_{false};
  std::thread accepting_;
};

// Watches how much memory this process holds.
class memory_tracker {
 public:
  memory_tracker() : before_(resident_bytes()), most_(before_) {}
  // Looks again; called now and then while something runs.
  void take_sample();
  // \returns by how much the memory had grown at most.
  [[nodiscard]] std::uint64_t growth() const { return most_ - before_; }

 private:
  static std::uint64_t resident_bytes();
  std::uint64_t before_;
  std::uint64_t most_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_RAW_SERVER_H_
