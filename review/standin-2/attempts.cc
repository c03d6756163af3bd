// A route with `attempts` 1, whose workers lose answers of requests that they ran.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "names.h"
#include "world.hh"

namespace review {

namespace name = figreach::platform::name;

namespace {

constexpr int workers = 6;
constexpr int affected = 3;        ///< half of the workers
constexpr double lost_share = 0.3; ///< of the answers of an affected worker
constexpr milliseconds trouble_start{2000};
constexpr milliseconds trouble_time{6000};
constexpr milliseconds play_time{12000};
constexpr milliseconds request_gap{15};
constexpr unsigned deadline_ms = 1000;
constexpr std::size_t allowed = 3; ///< requests that may run on more workers than `attempts`

struct counts {
    std::map<std::string, std::set<std::string>> ran_on; ///< workers by request
    unsigned lost = 0;
    unsigned answered = 0;
    unsigned other = 0;
};

asio::awaitable<void> ask(world& all, counts& seen, std::size_t which)
{
    client one{all.io, all.hosts[which % all.hosts.size()]->front()};
    const auto id = all.next_id();
    client_request what{.path = "/browse/" + id, .id = id, .deadline_ms = deadline_ms};
    const auto result = co_await one.send(std::move(what));
    ++(result.status == 200 ? seen.answered : seen.other);
    if (result.status != 200) {
        all.log.line("client %s: status %u %s", id.c_str(), result.status, result.error.c_str());
    }
}

} // namespace

asio::awaitable<int> play_attempts(world& all, bool trouble)
{
    counts seen;
    bool now_in_trouble = false;
    std::uint64_t random_state = 1;
    all.write_configuration({{.name = "r-browse",
                              .prefix = "/browse/",
                              .type = "safe",
                              .service = "studio",
                              .timeout_s = 1.0,
                              .target_s = 0.15,
                              .attempts = 1}},
                            {{.name = "studio"}});
    for (int i = 0; i < workers; ++i) {
        auto& one = all.add_worker("i-" + std::to_string(i + 1), "studio", "kl-a");
        one.on_run = [&](const worker& at, const std::string& id, const request_type&) {
            seen.ran_on[id].insert(at.id);
        };
        one.handler = [&, i](worker& at, worker_connection& connection,
                             request_type request) -> asio::awaitable<bool> {
            co_await all.sleep(at.work);
            random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
            const auto draw = static_cast<double>(random_state >> 33U) / double(1ULL << 31U);
            const std::string id{request[name::request_id]};
            if (now_in_trouble && i < affected && draw < lost_share) {
                ++seen.lost;
                all.log.line("worker %s: ran %s, its answer is lost", at.id.c_str(), id.c_str());
                co_return false;
            }
            auto out = at.make_answer(request, std::string(at.answer_bytes, 'b'));
            out.set(name::signature, "signed-" + at.id);
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
        asio::co_spawn(all.io, ask(all, seen, sent), asio::detached);
        co_await all.sleep(request_gap);
    }
    co_await all.sleep(milliseconds{1500});
    std::size_t over = 0;
    for (const auto& [id, on] : seen.ran_on) {
        if (on.size() > 1) {
            ++over;
            all.log.line("request %s ran on %zu workers, its route allows 1", id.c_str(),
                         on.size());
        }
    }
    all.log.line("requests run %zu, answered 200 %u, otherwise %u, answers lost %u",
                 seen.ran_on.size(), seen.answered, seen.other, seen.lost);
    all.log.line("requests that ran on more workers than `attempts`: %zu, allowed %zu", over,
                 allowed);
    co_return seen.answered == 0 ? exit_not_run : over > allowed ? exit_broken : exit_held;
}

} // namespace review
