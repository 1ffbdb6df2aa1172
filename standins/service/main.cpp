#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <memory>

#include "hawthornnotch/standin/program.h"
#include "hawthornnotch/standin/run_counter.h"

namespace {

using namespace hawthornnotch;

constexpr auto usage = R"(A plain service that counts its runs.

Usage:
  standin-service --listen ADDRESS [options]

Options:
  --listen ADDRESS        Where to listen, address:port; port 0 takes a free one.
  --name NAME             The service's name [default: service].
  --delay-ms MS           Time of each call [default: 0].
  -h --help               Show this.
)";

// Counts the runs of each idempotency key; a call has run once its delay begins.
class counting_service {
 public:
  counting_service(const standin::command_line& line,
                   std::shared_ptr<standin::fault_switches> faults)
      : name_(line.text("--name")),
        delay_(line.milliseconds("--delay-ms")),
        faults_(std::move(faults)) {}

  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer) {
    if (request.target == "/standin/counters") {
      boost::json::object counters{{"requests", requests_}, {"runs_by_key", runs_.to_json()}};
      net::http_response answer = standin::json_answer(200, boost::json::serialize(counters));
      co_await standin::reply(writer, std::move(answer));
      co_return;
    }
    ++requests_;
    const std::string key(request.header("idempotency-key").value_or(""));
    const std::uint64_t run = key.empty() ? requests_ : runs_.add(key);
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::micro>(delay_) * faults_->slow_factor());
    if (delay.count() > 0) {
      co_await standin::sleep_for(delay);
    }
    boost::json::object body{{"service", name_}, {"path", request.target}, {"run", run}};
    net::http_response answer = standin::json_answer(200, boost::json::serialize(body));
    if (auto id = request.header("x-request-id")) {
      answer.headers.emplace_back("x-request-id", *id);
    }
    co_await standin::reply(writer, std::move(answer));
  }

 private:
  std::string name_;
  std::chrono::microseconds delay_;
  std::shared_ptr<standin::fault_switches> faults_;
  std::uint64_t requests_ = 0;
  standin::run_counter runs_;
};

}  // namespace

int main(int argc, char** argv) {
  const standin::command_line line(usage, argc, argv);
  auto faults = std::make_shared<standin::fault_switches>();
  counting_service service(line, faults);
  boost::asio::io_context context(1);
  return standin::serve(context, line, faults,
                        [&service](net::http_request request, net::response_writer& writer) {
                          return service.handle(std::move(request), writer);
                        });
}
