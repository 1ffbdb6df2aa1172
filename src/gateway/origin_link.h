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
// The VM of a stream may be lost before it tells, or reach no keeper. So a stream that the store
// may take for one of another version begins only once the store's record names it, see
// `streams::version_declaration`; that no keeper knows a stream proves nothing.
//
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class origin_link {
 public:
  origin_link(gateway_state& shared, boost::asio::any_io_executor executor);

  // Records that a stream of this VM is about to begin, before its caller gets the first event. One
  // that does not begin at the base version of its service waits for a short time until most of its
  // keepers know of it; one that may begin only once the store's record names it, until it does.
  // \returns whether it may begin.
  boost::asio::awaitable<bool> begin_stream(streams::stream_origin origin);
  // Tells the origins of all streams that this VM began, once a service is mixed.
  void on_versions_mixed(std::span<const std::string> services);
  struct search_result {
    std::optional<streams::stream_origin> found;
    // Whether there are keepers and every one was reached: then no VM that is in touch with them
    // began the stream at a version that this one does not know.
    bool peers_answered = false;
  };
  // Asks the stream's keepers if this VM does not know its origin, for a short time.
  boost::asio::awaitable<search_result> find(streams::stream_key key);
  struct vm_search_result {
    std::optional<streams::stream_origin> found;
    // VMs whose process did not begin the stream, see `streams::begin_facts::exclude`.
    std::set<std::string> excluded;
  };
  // Asks these VMs, this one included, whether they began the stream.
  boost::asio::awaitable<vm_search_result> find_among(streams::stream_key key,
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
    // Whether the VM knows all streams of the service that it began at other versions.
    bool knows_own_streams = false;
  };
  boost::asio::awaitable<void> await_declaration(std::string service, time_point end);
  // \returns whether the store's record names a stream that began at this time, or need not as
  // versions are no longer mixed.
  boost::asio::awaitable<bool> await_record(std::string service, time_point began_at);
  // \returns the progress at the keepers.
  std::shared_ptr<delivery> tell(const streams::stream_origin& origin);
  void flush();
  boost::asio::awaitable<void> send_origins(batch what);
  // \param vm the name by which `inquiry::excluded` is to hold the VM.
  boost::asio::awaitable<void> ask(std::string vm, endpoint to, std::shared_ptr<inquiry> about);
  boost::asio::awaitable<std::optional<peer_answer>> exchange(
      const endpoint& to, const streams::origin_message& message);
  // \returns whether this VM knows each stream of the service that it, its earlier processes
  // included, began at another version than the base one.
  [[nodiscard]] bool knows_own_streams(const std::string& service) const;
  // Puts the question to these VMs and waits until the first knows, or all have answered.
  boost::asio::awaitable<void> ask_all(std::map<std::string, endpoint> vms,
                                       std::shared_ptr<inquiry> about);
  // Adds to an answer what this VM can tell of streams of the service that it does not know.
  void add_own_knowledge(const std::string& service, net::http_response& response) const;

  gateway_state& shared_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer flush_timer_;
  bool flush_pending_ = false;
  // Not sent yet, by keeper.
  std::map<std::string, batch> waiting_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_ORIGIN_LINK_H_
