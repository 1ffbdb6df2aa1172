// Tells other entry VMs where streams began, and asks them.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_ORIGIN_LINK_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_ORIGIN_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "gateway_state.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/streams/origin_message.h"

namespace hawthornnotch::gateway::internal {

// While more than one software version of a service is recent, each VM tells the origins of its
// streams at once to a few other VMs, the stream's keepers: those first in the rendezvous order of
// all VMs for the stream's id. Any VM can find them to ask. Otherwise nothing is sent; once a
// second version appears, the origins of the streams that have begun are told.
//
// The VM of a stream may be lost before it tells. So a stream at another version than the base one
// begins only once all but one of its keepers know of it, and one that all but one of them do not
// know began at the base version. See docs/design/0014-resumed-streams.md.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class origin_link {
 public:
  origin_link(gateway_state& shared, boost::asio::any_io_executor executor);

  // Records that a stream of this VM is about to begin, before its caller gets the first event. One
  // that does not begin at the base version of its service waits until most of its keepers know of
  // it and this VM has declared that versions are mixed, for a short time.
  boost::asio::awaitable<void> begin_stream(streams::stream_origin origin);
  // Tells the origins of all streams that this VM began, once a service is mixed.
  void on_versions_mixed(std::span<const std::string> services);
  struct search_result {
    std::optional<streams::stream_origin> found;
    // Whether there are keepers and every one was reached: then no VM that is in touch with them
    // began the stream at a version that this one does not know.
    bool peers_answered = false;
    // The base version of the service, if so many keepers know none of the stream that it can have
    // begun at no other.
    std::optional<std::string> base;
  };
  // Asks the stream's keepers if this VM does not know its origin, for a short time.
  boost::asio::awaitable<search_result> find(streams::stream_key key);
  // Asks the VMs that may have begun the stream at another version than the base one: if all are
  // reached and neither they nor this VM began it, it began at the base version.
  // \returns the origin or the base version, if either is proved.
  boost::asio::awaitable<search_result> find_among(streams::stream_key key,
                                                   std::set<std::string> vms);
  // \returns whether a request on the peers' port is for `handle`.
  [[nodiscard]] static bool is_for_origins(const net::http_request& request);
  // Serves another VM's message.  Answers 400 if it can't be decoded.
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);

 private:
  struct inquiry;
  struct delivery;
  // An origin on its way to a keeper.
  struct untold_origin {
    streams::stream_origin origin;
    std::shared_ptr<delivery> progress;
  };
  struct batch {
    endpoint keeper;
    std::vector<untold_origin> origins;
  };
  // What another VM answers.
  struct peer_answer {
    streams::origin_message message;
    // Hash of the base version of the service that was asked for.
    std::optional<std::uint64_t> base_hash;
    // Whether the VM knows all streams of the service that it began at other versions.
    bool knows_own_streams = false;
  };
  boost::asio::awaitable<void> await_declaration(std::string service, time_point end);
  // \returns the progress at the keepers.
  std::shared_ptr<delivery> tell(const streams::stream_origin& origin);
  void flush();
  boost::asio::awaitable<void> send_origins(batch what);
  boost::asio::awaitable<void> ask(endpoint to, std::shared_ptr<inquiry> about);
  boost::asio::awaitable<std::optional<peer_answer>> exchange(
      const endpoint& to, const streams::origin_message& message);
  // \returns the base version of the service, if this VM would know of each stream that it keeps.
  [[nodiscard]] std::optional<std::string> kept_base(std::string_view service) const;
  // \returns whether this VM knows each stream of the service that it, its earlier processes
  // included, began at another version than the base one.
  [[nodiscard]] bool knows_own_streams(const std::string& service) const;
  // \returns the base version, if no VM that was asked names another one.
  [[nodiscard]] std::optional<std::string> undisputed_base(const inquiry& answered) const;
  // Puts the question to these VMs and waits until the first knows, or all have answered.
  boost::asio::awaitable<void> ask_all(std::vector<endpoint> vms, std::shared_ptr<inquiry> about);
  // Adds to an answer what this VM can tell of streams of the service that it does not know.
  void add_own_knowledge(const std::string& service, net::http_response& response) const;
  // \returns the base version that enough of the keepers name.
  [[nodiscard]] std::optional<std::string> agreed_base(const inquiry& answered) const;

  gateway_state& shared_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer flush_timer_;
  bool flush_pending_ = false;
  // Not sent yet, by keeper.
  std::map<std::string, batch> waiting_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_ORIGIN_LINK_H_
