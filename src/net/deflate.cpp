#include "hawthornnotch/net/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace hawthornnotch::net {

namespace {

namespace zlib = boost::beast::zlib;

/// Messages repeat the same names, so a fast level and a small window suffice.
constexpr int compression_level = 3;
constexpr int window_bits = 13;
constexpr int memory_level = 6;
/// Room for the sync flush and the empty last block.
constexpr std::size_t trailer_bytes = 16;
constexpr std::size_t chunk_bytes = 16 * 1024;

}  // namespace

std::string deflate(std::string_view plain) {
  zlib::deflate_stream stream;
  stream.reset(compression_level, window_bits, memory_level, zlib::Strategy::normal);
  std::string out(stream.upper_bound(plain.size()) + trailer_bytes, '\0');
  zlib::z_params params;
  params.next_in = plain.data();
  params.avail_in = plain.size();
  params.next_out = out.data();
  params.avail_out = out.size();
  // Beast's inflate_stream needs more bits than the last symbol may have. After a sync flush the
  // last block is an empty one, which has enough of them.
  boost::system::error_code error;
  stream.write(params, zlib::Flush::sync, error);
  stream.write(params, zlib::Flush::finish, error);
  // A full output buffer is the only possible error, and the upper bound makes it unlikely.
  while (error != zlib::error::end_of_stream && params.avail_out == 0) {
    out.resize(out.size() + chunk_bytes);
    params.next_out = out.data() + params.total_out;
    params.avail_out = out.size() - params.total_out;
    stream.write(params, zlib::Flush::finish, error);
  }
  out.resize(params.total_out);
  return out;
}

result<std::string, inflate_failure> inflate(std::string_view compressed, std::size_t max_bytes) {
  zlib::inflate_stream stream;
  std::string out;
  zlib::z_params params;
  params.next_in = compressed.data();
  params.avail_in = compressed.size();
  boost::system::error_code error;
  while (error != zlib::error::end_of_stream) {
    if (out.size() >= max_bytes) {
      return failed{inflate_failure::too_large};
    }
    const std::size_t previous_size = out.size();
    out.resize(std::min(previous_size + chunk_bytes, max_bytes));
    params.next_out = out.data() + previous_size;
    params.avail_out = out.size() - previous_size;
    stream.write(params, zlib::Flush::sync, error);
    out.resize(params.total_out);
    const bool no_progress = out.size() == previous_size;
    if (error != zlib::error::end_of_stream && (error || no_progress)) {
      return failed{inflate_failure::malformed};
    }
  }
  const bool all_consumed = params.avail_in == 0;
  return all_consumed ? result<std::string, inflate_failure>(std::move(out))
                      : result<std::string, inflate_failure>(failed{inflate_failure::malformed});
}

}  // namespace hawthornnotch::net
