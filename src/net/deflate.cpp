#include "hawthornnotch/net/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace hawthornnotch::net {

namespace {

namespace zlib = boost::beast::zlib;

/// Messages hold the same names again and again: a fast level and a small window suffice.
constexpr int level = 3;
constexpr int window_bits = 13;
constexpr int memory_level = 6;
/// Room for the flush and the empty last block.
constexpr std::size_t end_bytes = 16;
constexpr std::size_t piece_bytes = 16 * 1024;

}  // namespace

std::string deflate(std::string_view plain) {
  zlib::deflate_stream stream;
  stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
  std::string out(stream.upper_bound(plain.size()) + end_bytes, '\0');
  zlib::z_params params;
  params.next_in = plain.data();
  params.avail_in = plain.size();
  params.next_out = out.data();
  params.avail_out = out.size();
  // Beast's inflate stream asks for more bits than the last symbol may have; behind a flush the
  // last block is an empty one, which has enough of them.
  boost::system::error_code error;
  stream.write(params, zlib::Flush::sync, error);
  stream.write(params, zlib::Flush::finish, error);
  // Full output is the only error that can come; the bound makes it improbable.
  while (error != zlib::error::end_of_stream && params.avail_out == 0) {
    out.resize(out.size() + piece_bytes);
    params.next_out = out.data() + params.total_out;
    params.avail_out = out.size() - params.total_out;
    stream.write(params, zlib::Flush::finish, error);
  }
  out.resize(params.total_out);
  return out;
}

result<std::string, inflate_failure> inflate(std::string_view compressed, std::size_t most_bytes) {
  zlib::inflate_stream stream;
  std::string out;
  zlib::z_params params;
  params.next_in = compressed.data();
  params.avail_in = compressed.size();
  boost::system::error_code error;
  while (error != zlib::error::end_of_stream) {
    if (out.size() >= most_bytes) {
      return failed{inflate_failure::too_large};
    }
    const std::size_t before = out.size();
    out.resize(std::min(before + piece_bytes, most_bytes));
    params.next_out = out.data() + before;
    params.avail_out = out.size() - before;
    stream.write(params, zlib::Flush::sync, error);
    out.resize(params.total_out);
    const bool stuck = out.size() == before;
    if (error != zlib::error::end_of_stream && (error || stuck)) {
      return failed{inflate_failure::malformed};
    }
  }
  const bool all_read = params.avail_in == 0;
  return all_read ? result<std::string, inflate_failure>(std::move(out))
                  : result<std::string, inflate_failure>(failed{inflate_failure::malformed});
}

}  // namespace hawthornnotch::net
