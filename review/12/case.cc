// Backend servers answer with a chunked body that never ends. Requests at them must have an answer
// half a second after the timeout of their route.

#include <csignal>
#include <cstdio>
#include <iostream>
#include <thread>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "figreach/direct/runtime/change_signal.h"
#include "lab.hh"

namespace asio = boost::asio;
using namespace figreach;
using namespace figreach::review;

namespace {

constexpr unsigned worker_count = 6;
constexpr unsigned faulty_count = 3;
constexpr unsigned request_count = 100;
constexpr milliseconds gap{100};
constexpr milliseconds route_timeout{2000};
constexpr milliseconds slack{500};
constexpr milliseconds time_limit{6000};
/// Bytes of an endless answer a second; all of them together stay below a link of 1,000 Mbit/s.
constexpr std::size_t bytes_per_ms = 4000;
constexpr std::size_t min_late = 8;

/// Writes chunks of one byte until the other side closes the connection.
void write_endless(int socket, std::string head)
{
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    std::string chunks;
    while (chunks.size() < bytes_per_ms) {
        chunks += "1\r\nx\r\n";
    }
    auto next = monotonic_time::clock::now();
    bool open = ::send(socket, head.data(), head.size(), MSG_NOSIGNAL) > 0;
    while (open) {
        std::size_t done = 0;
        while (open && done < chunks.size()) {
            const auto count =
                ::send(socket, chunks.data() + done, chunks.size() - done, MSG_NOSIGNAL);
            open = count > 0;
            done += open ? static_cast<std::size_t>(count) : 0;
        }
        next += milliseconds{1};
        std::this_thread::sleep_until(next);
    }
    ::close(socket);
}

struct outcome {
    std::string id;
    call_result result;
};

} // namespace

int main(int, char** arguments)
{
    const bool trouble = has_trouble();
    lab all{arguments[1]};
    std::atomic<unsigned> endless{0};
    const answer_hook hook =
        [&](worker& one, boost::beast::tcp_stream& stream,
            const direct::http_request& request) -> asio::awaitable<answer_hook_result> {
        const std::string id{request["Figreach-Request-Id"]};
        const bool is_work = request.target().starts_with("/read/");
        if (!trouble || !is_work ||
            std::string{request["Figreach-Expect-Instance"]} != one.spec.id) {
            co_return answer_hook_result{};
        }
        ++endless;
        all.record.write("worker " + one.spec.id + " runs " + id + ", endless answer");
        const int socket = ::dup(stream.socket().native_handle());
        std::thread{write_endless, socket,
                    "HTTP/1.1 200 OK\r\nFigreach-Request-Id: " + id +
                        "\r\nFigreach-Server-Stamp: signed\r\nTransfer-Encoding: chunked\r\n\r\n"}
            .detach();
        // The thread above is the only one that uses the connection from now on.
        co_await direct::sleep_for(all.io, seconds{110});
        co_return answer_hook_result{.handled = true, .keep_open = false};
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned i = 0; i < worker_count; ++i) {
        workers.push_back(std::make_unique<worker>(
            all, worker_spec{.id = "i-" + std::to_string(i), .service = "library"},
            i < faulty_count ? hook : answer_hook{}));
        workers.back()->on_run = [&](worker& one, const direct::http_request& request) {
            all.record.write("worker " + one.spec.id + " runs " +
                             std::string{request["Figreach-Request-Id"]});
        };
    }
    all.write_configuration({{.path = "read",
                              .type = "safe",
                              .service = "library",
                              .timeout_s = 2.0,
                              .objective_s = 0.5}},
                            {{.name = "library"}});
    all.start();
    all.run_on_loop([&] {
        for (const auto& one : workers) {
            one->start();
        }
    });
    entry_host first{all, "host-1"};
    entry_host second{all, "host-2"};
    first.start();
    second.start();
    if (!first.wait_ready(seconds{10}) || !second.wait_ready(seconds{10})) {
        std::cout << "the hosts did not become ready" << std::endl;
        return 2;
    }
    pause_for(seconds{4});
    std::vector<outcome> outcomes(request_count);
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < request_count; ++i) {
        callers.emplace_back([&, i] {
            caller one{i % 2 == 0 ? first.caller_port : second.caller_port};
            outcomes[i].id = next_id();
            all.record.write("sent " + outcomes[i].id);
            outcomes[i].result = one.call(
                {.path = "/read/page", .id = outcomes[i].id, .time_limit = time_limit}, time_limit);
            const auto& got = outcomes[i].result;
            all.record.write("answer " + outcomes[i].id + " " + std::to_string(got.status) + " " +
                             got.ending + " after " + std::to_string(got.took.count()) + " ms");
        });
        pause_for(gap);
    }
    for (auto& one : callers) {
        one.join();
    }
    const bool alive = first.is_running() && second.is_running();
    std::size_t over_timeout = 0;
    std::size_t late = 0;
    std::size_t served = 0;
    for (const auto& one : outcomes) {
        served += one.result.status == 200 && one.result.complete ? 1 : 0;
        const bool over = !one.result.complete || one.result.took > route_timeout;
        over_timeout += over ? 1 : 0;
        late += !one.result.complete || one.result.took > route_timeout + slack ? 1 : 0;
    }
    const bool broken = late >= min_late && late * 4 > over_timeout;
    const std::string summary = std::to_string(request_count) + " requests, " +
                                std::to_string(served) + " served, " + std::to_string(endless) +
                                " sends with an endless answer, " + std::to_string(over_timeout) +
                                " unanswered at the timeout of the route, " + std::to_string(late) +
                                " of them without an answer " + std::to_string(slack.count()) +
                                " ms later; CONFIG " + (broken ? "broken" : "held");
    all.record.write(summary);
    std::cout << summary << std::endl;
    if (!alive || served == 0) {
        std::cout << "a host ended, or nothing was served" << std::endl;
    }
    std::cout.flush();
    first.signal(SIGKILL);
    second.signal(SIGKILL);
    pause_for(milliseconds{200});
    all.finish(broken ? 1 : 0);
}
