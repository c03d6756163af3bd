// A request crashes each backend server that runs it, until the hosts hold it back. Then all entry
// hosts are killed at the same moment and start again, twice, and the request comes again.

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "lab.hh"

namespace asio = boost::asio;
using namespace figreach;
using namespace figreach::review;

namespace {

constexpr unsigned worker_count = 20;
constexpr unsigned host_count = 3;
constexpr milliseconds stable_window{3000};
constexpr milliseconds crash_delay{30};
constexpr milliseconds restart_delay{2500};
constexpr milliseconds client_pause{150};
constexpr unsigned client_retries = 2;
constexpr std::size_t max_retries = 3;
/// How often all hosts are killed.
constexpr unsigned kill_rounds = 2;
constexpr milliseconds phase{10000};
constexpr auto poison = "/view/poison";

struct arrival {
    monotonic_time at;
    std::string worker;
};

} // namespace

int main(int, char** arguments)
{
    const bool trouble = has_trouble();
    lab all{arguments[1]};
    std::vector<arrival> arrivals; ///< of the crashing request
    std::vector<monotonic_time> crashes;
    std::uint64_t lives = 0;

    const auto crash_under = [&](worker& one) -> asio::awaitable<void> {
        co_await direct::sleep_for(all.io, crash_delay);
        crashes.push_back(monotonic_time::clock::now());
        one.crash();
        co_await direct::sleep_for(all.io, restart_delay);
        one.spec.id = one.spec.id.substr(0, one.spec.id.find('.')) + "." + std::to_string(++lives);
        one.start();
    };
    const answer_hook hook =
        [&](worker& one, boost::beast::tcp_stream&,
            const direct::http_request& request) -> asio::awaitable<answer_hook_result> {
        if (!request.target().starts_with(poison) ||
            std::string{request["Figreach-Expect-Instance"]} != one.spec.id) {
            co_return answer_hook_result{};
        }
        all.record.write("worker " + one.spec.id + " runs the crashing request " +
                         std::string{request["Figreach-Request-Id"]});
        arrivals.push_back({monotonic_time::clock::now(), one.spec.id});
        asio::co_spawn(all.io, crash_under(one), asio::detached);
        co_await direct::sleep_for(all.io, 2 * crash_delay);
        co_return answer_hook_result{.handled = true, .keep_open = false};
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (unsigned i = 0; i < worker_count; ++i) {
        workers.push_back(std::make_unique<worker>(
            all, worker_spec{.id = "i-" + std::to_string(i), .service = "library"}, hook));
    }
    all.write_configuration({{.path = "view",
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
    std::vector<std::unique_ptr<entry_host>> hosts;
    for (unsigned i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<entry_host>(all, "host-" + std::to_string(i + 1)));
        hosts.back()->start();
    }
    const auto all_ready = [&] {
        return std::all_of(hosts.begin(), hosts.end(),
                           [](const auto& one) { return one->wait_ready(seconds{10}); });
    };
    if (!all_ready()) {
        std::cout << "the hosts did not become ready" << std::endl;
        return 2;
    }
    pause_for(seconds{4});
    unsigned next_host = 0;
    unsigned served = 0;
    // A client tries a safe request again after any failure, at another host each time.
    const auto come_once = [&] {
        for (unsigned i = 0; i <= client_retries; ++i) {
            caller one{hosts[next_host++ % host_count]->caller_port};
            const auto id = next_id();
            const auto got =
                one.call({.path = poison, .id = id, .time_limit = seconds{2}}, seconds{3});
            all.record.write("sent " + id + ", answer " + std::to_string(got.status) + " " +
                             got.ending);
            pause_for(client_pause);
        }
        caller other{hosts[next_host % host_count]->caller_port};
        served += other.call({.path = "/view/page", .id = next_id(), .time_limit = seconds{2}},
                             seconds{3})
                              .status == 200
                      ? 1
                      : 0;
    };
    const auto come_for = [&](milliseconds time) {
        const auto until = monotonic_time::clock::now() + time;
        while (monotonic_time::clock::now() < until) {
            come_once();
            pause_for(seconds{2});
        }
    };
    const auto restart_all = [&] {
        for (const auto& one : hosts) {
            one->signal(SIGKILL);
        }
        pause_for(milliseconds{500});
        for (const auto& one : hosts) {
            static_cast<void>(one->is_running());
            one->start();
        }
        if (!all_ready()) {
            std::cout << "the hosts did not become ready again" << std::endl;
            all.finish(2);
        }
    };
    come_for(phase);
    for (unsigned round = 0; round < kill_rounds; ++round) {
        if (trouble) {
            restart_all();
        }
        // The hosts are in touch again before the request comes.
        pause_for(stable_window + seconds{1});
        come_for(phase);
    }
    std::size_t retries = 0;
    std::size_t before = 0;
    all.run_on_loop([&] {
        for (const auto& one : arrivals) {
            const bool counts = crashes.size() >= 3 && one.at > crashes[2] + stable_window;
            retries += counts ? 1 : 0;
            before += counts ? 0 : 1;
        }
    });
    const bool broken = retries > max_retries;
    const std::string summary =
        std::to_string(before) + " sends until " + std::to_string(stable_window.count()) +
        " ms after the third crash, " + std::to_string(retries) + " later; " +
        std::to_string(crashes.size()) + " crashes, " + std::to_string(served) +
        " other requests served; BUDGET " + (broken ? "broken" : "held");
    all.record.write(summary);
    std::cout << summary << std::endl;
    for (const auto& one : hosts) {
        one->signal(SIGKILL);
    }
    pause_for(milliseconds{200});
    all.finish(broken ? 1 : (served == 0 || crashes.size() < 3 ? 2 : 0));
}
