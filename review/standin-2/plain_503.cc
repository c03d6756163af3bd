// Workers that run orders and answer some of them with 503, without saying that they did not run.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "names.h"
#include "world.hh"

namespace review {

namespace name = figreach::platform::name;

namespace {

constexpr int workers = 6;
constexpr int affected = 1; ///< a share of 0.14 of the workers, rounded up
constexpr double failed_share = 0.45;
constexpr milliseconds trouble_start{2000};
constexpr milliseconds trouble_time{6500};
constexpr milliseconds play_time{12000};
constexpr milliseconds request_gap{40};
constexpr unsigned deadline_ms = 3000;

struct counts {
    std::set<std::string> ran;
    std::size_t answered = 0;
    std::size_t refused = 0;        ///< with 408, 421, 429 or 503
    std::size_t false_refusals = 0; ///< of these, of requests that had run
    std::size_t failed = 0;         ///< answers of workers with 503
};

bool says_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

asio::awaitable<void> order(world& all, counts& seen, std::size_t which)
{
    client one{all.io, all.hosts[which % all.hosts.size()]->front()};
    const auto id = all.next_id();
    client_request what{.method = "POST",
                        .path = "/order/" + id,
                        .id = id,
                        .deadline_ms = deadline_ms,
                        .body = std::string(300, 'o')};
    const auto result = co_await one.send(std::move(what));
    seen.answered += result.status == 200 ? 1 : 0;
    const bool had_run = seen.ran.contains(id);
    if (says_not_run(result.status)) {
        ++seen.refused;
        seen.false_refusals += had_run ? 1 : 0;
    }
    if (result.status != 200) {
        all.log.line("client %s: status %u %s, %s", id.c_str(), result.status, result.error.c_str(),
                     had_run ? "had run" : "had not run");
    }
}

} // namespace

asio::awaitable<int> play_plain_503(world& all, bool trouble)
{
    counts seen;
    bool now_in_trouble = false;
    std::uint64_t random_state = 1;
    all.write_configuration({{.name = "r-order",
                              .prefix = "/order/",
                              .type = "unsafe",
                              .service = "studio",
                              .timeout_s = 1.5,
                              .target_s = 0.5}},
                            {{.name = "studio"}});
    for (int i = 0; i < workers; ++i) {
        auto& one = all.add_worker("i-" + std::to_string(i + 1), "studio", "kl-a");
        one.work = milliseconds{140};
        one.on_run = [&](const worker& at, const std::string& id, const request_type&) {
            seen.ran.insert(id);
            all.log.line("worker %s: runs %s", at.id.c_str(), id.c_str());
        };
        one.handler = [&, i](worker& at, worker_connection& connection,
                             request_type request) -> asio::awaitable<bool> {
            co_await all.sleep(at.work);
            random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
            const auto draw = static_cast<double>(random_state >> 33U) / double(1ULL << 31U);
            const bool fails = now_in_trouble && i < affected && draw < failed_share;
            auto out = at.make_answer(request, std::string(1500, 'b'));
            if (fails) {
                ++seen.failed;
                all.log.line("worker %s: has run %s and answers 503", at.id.c_str(),
                             std::string{request[name::request_id]}.c_str());
                out.result(503);
            }
            else {
                out.set(name::signature, "signed-" + at.id);
            }
            co_return co_await at.answer(connection, std::move(out), request.keep_alive());
        };
    }
    for (int i = 0; i < 3; ++i) {
        all.add_host("edge-" + std::to_string(i + 1), "kl-a").start();
    }
    if (!co_await all.wait_until_ready(milliseconds{15000})) {
        all.log.line("the hosts are not ready");
        co_return exit_not_run;
    }
    co_await all.sleep(milliseconds{3500});
    const auto start = clock_type::now();
    for (std::size_t sent = 0; clock_type::now() < start + play_time; ++sent) {
        const auto since = clock_type::now() - start;
        now_in_trouble = trouble && since >= trouble_start && since < trouble_start + trouble_time;
        asio::co_spawn(all.io, order(all, seen, sent), asio::detached);
        co_await all.sleep(request_gap);
    }
    co_await all.sleep(milliseconds{deadline_ms});
    all.log.line("orders run %zu, answered 200 %zu, refused %zu, 503 from workers %zu",
                 seen.ran.size(), seen.answered, seen.refused, seen.failed);
    all.log.line("orders refused as not run that had run: %zu, allowed 0", seen.false_refusals);
    co_return seen.answered == 0 ? exit_not_run : seen.false_refusals > 0 ? exit_broken : exit_held;
}

} // namespace review
