// A zone loses power right before a configuration moves a route, and the store turns one host of
// another zone away.

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "backend_server.h"
#include "names.h"
#include "world.hh"

namespace review {

namespace {

namespace standin = figreach::standin;

constexpr std::uint64_t keys = 65536;
constexpr milliseconds loss_time{5500};
constexpr milliseconds turned_away_before{1500};
constexpr milliseconds turned_away_time{9000};
constexpr milliseconds change_after{300}; ///< the loss of the zone
constexpr milliseconds watch_time{9000};  ///< after the loss of the zone
constexpr milliseconds request_gap{12};
constexpr milliseconds revert_slack{250};
constexpr unsigned deadline_ms = 3000;
constexpr auto keyed_service = "classroom";
constexpr auto plain_service = "studio";

struct counts {
    std::map<std::string, std::string> sent_to; ///< hosts by upload
    std::map<std::string, clock_type::time_point> sent_at;
    /// When a worker of the new service first ran an upload that was sent to this host.
    std::map<std::string, clock_type::time_point> seen_at;
    std::map<unsigned, std::size_t> by_status;
    std::size_t reverted = 0;
    std::size_t run_by_new = 0;
    std::size_t run_by_old = 0;
    bool running = true;
};

std::vector<service> make_services()
{
    return {{.name = keyed_service, .sharded = true}, {.name = plain_service}};
}

std::vector<route> make_routes(const char* upload_service)
{
    return {{.name = "r-lesson",
             .prefix = "/lesson/",
             .type = "safe",
             .service = keyed_service,
             .timeout_s = 1.2,
             .target_s = 0.4},
            {.name = "r-upload",
             .prefix = "/upload/",
             .type = "upload",
             .service = upload_service,
             .timeout_s = 3.0,
             .target_s = 0.5}};
}

/// A worker of the old or the new service begins to run an upload.
void note_run(world& all, counts& seen, bool by_new, const std::string& id)
{
    const auto to = seen.sent_to.find(id);
    if (to == seen.sent_to.end()) {
        return;
    }
    ++(by_new ? seen.run_by_new : seen.run_by_old);
    const auto& name_ = to->second;
    if (by_new) {
        seen.seen_at.try_emplace(name_, clock_type::now());
        return;
    }
    const auto known = seen.seen_at.find(name_);
    if (known == seen.seen_at.end()) {
        return;
    }
    const std::chrono::duration<double> after = seen.sent_at[id] - known->second;
    if (seen.sent_at[id] > known->second + revert_slack) {
        ++seen.reverted;
        all.log.line("worker of %s: runs upload %s from %s, sent there %.3f s after a worker of %s "
                     "had seen that the new version is in force there",
                     plain_service, id.c_str(), name_.c_str(), after.count(), keyed_service);
    }
}

asio::awaitable<void> upload(world& all, counts& seen, host& to, unsigned key)
{
    client one{all.io, to.front()};
    const auto id = all.next_id();
    seen.sent_to[id] = to.name();
    seen.sent_at[id] = clock_type::now();
    client_request what{.method = "POST",
                        .path = "/upload/" + id,
                        .id = id,
                        .deadline_ms = deadline_ms,
                        .body = std::string(2000, 'u'),
                        .key = key};
    const auto result = co_await one.send(std::move(what));
    ++seen.by_status[result.status];
}

asio::awaitable<void> read_lesson(world& all, host& to, unsigned key)
{
    client one{all.io, to.front()};
    const auto id = all.next_id();
    client_request what{.path = "/lesson/" + id, .id = id, .deadline_ms = 1200, .key = key};
    const auto result = co_await one.send(std::move(what));
    static_cast<void>(result);
}

asio::awaitable<void> keep_asking(world& all, counts& seen, host& to)
{
    std::uint64_t state = to.front().port();
    while (seen.running) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto key = static_cast<unsigned>((state >> 33U) % keys);
        asio::co_spawn(all.io, read_lesson(all, to, key), asio::detached);
        asio::co_spawn(all.io, upload(all, seen, to, key), asio::detached);
        co_await all.sleep(request_gap);
    }
}

} // namespace

asio::awaitable<int> play_stale_peer(world& all, bool trouble)
{
    counts seen;
    all.write_configuration(make_routes(plain_service), make_services());
    std::vector<std::unique_ptr<standin::backend_server>> workers;
    std::uint64_t seed = 100;
    const auto add_workers = [&](const char* of, const char* zone, int count) {
        const bool keyed = std::string{of} == keyed_service;
        for (int i = 0; i < count; ++i) {
            standin::backend_settings own{.service = of,
                                          .failure_domain = zone,
                                          .divided_by_key = keyed,
                                          .report_interval = milliseconds{870}};
            workers.push_back(std::make_unique<standin::backend_server>(
                all.io, all.model, all.store, std::move(own), ++seed,
                [&all, &seen, keyed](const standin::backend_server&,
                                     const standin::backend_run& what) {
                    note_run(all, seen, keyed, what.request_id);
                }));
            workers.back()->set_public_address(workers.back()->address());
            workers.back()->start();
        }
    };
    const auto add_lost_zone = [&] {
        add_workers(keyed_service, "kl-b", 4);
        add_workers(plain_service, "kl-b", 2);
    };
    add_lost_zone();
    const auto lost_workers = workers.size();
    add_workers(keyed_service, "kl-a", 4);
    add_workers(plain_service, "kl-a", 3);
    // Another door to the same store, which turns its one host away.
    standin::store_server other_door{all.io, all.model, 2};
    bool ended = false;
    const auto pass_changes_on = [&]() -> asio::awaitable<void> {
        while (!ended) {
            other_door.notify();
            co_await all.sleep(milliseconds{10});
        }
    };
    asio::co_spawn(all.io, pass_changes_on(), asio::detached);
    // The host that starts first leads.
    auto& leader = all.add_host("edge-kl-b-1", "kl-b");
    leader.start();
    if (!co_await all.wait_until_ready(milliseconds{15000})) {
        co_return exit_not_run;
    }
    co_await all.sleep(milliseconds{2500});
    all.add_host("edge-kl-a-2", "kl-a").start();
    all.add_host("edge-kl-a-1", "kl-a", other_door.address()).start();
    if (!co_await all.wait_until_ready(milliseconds{15000})) {
        co_return exit_not_run;
    }
    co_await all.sleep(milliseconds{6000});
    for (std::size_t i = 1; i < all.hosts.size(); ++i) {
        asio::co_spawn(all.io, keep_asking(all, seen, *all.hosts[i]), asio::detached);
    }
    co_await all.sleep(milliseconds{3000});
    if (trouble) {
        all.log.line("store: turns edge-kl-a-1 away with 503");
        other_door.faults.busy = true;
    }
    co_await all.sleep(turned_away_before);
    const auto loss_at = clock_type::now();
    if (trouble) {
        all.log.line("zone kl-b loses power: its host, which leads, and its workers");
        leader.signal(SIGKILL);
        for (std::size_t i = 0; i < lost_workers; ++i) {
            workers[i]->crash();
        }
    }
    co_await all.sleep(change_after);
    all.log.line("operator: the route of uploads moves from %s to %s", plain_service,
                 keyed_service);
    all.write_configuration(make_routes(keyed_service), make_services());
    bool back = false;
    while (clock_type::now() < loss_at + watch_time) {
        co_await all.sleep(milliseconds{20});
        if (trouble && !back && clock_type::now() >= loss_at + loss_time) {
            back = true;
            all.log.line("zone kl-b is back");
            static_cast<void>(leader.is_running());
            leader.start();
            add_lost_zone();
        }
        if (clock_type::now() >= loss_at - turned_away_before + turned_away_time) {
            other_door.faults.busy = false;
        }
    }
    seen.running = false;
    co_await all.sleep(milliseconds{3500});
    for (const auto& [name_, at] : seen.seen_at) {
        const std::chrono::duration<double> after = at - loss_at;
        all.log.line("%s: a worker of %s first ran an upload %.3f s after the loss of the zone",
                     name_.c_str(), keyed_service, after.count());
    }
    for (const auto& [status, count] : seen.by_status) {
        all.log.line("uploads that ended with %u: %zu", status, count);
    }
    all.log.line("uploads run by %s %zu, by %s %zu", plain_service, seen.run_by_old, keyed_service,
                 seen.run_by_new);
    all.log.line("uploads run by the old service from a host that had had the new version in force "
                 "for over 0.25 s when they were sent: %zu, allowed 0",
                 seen.reverted);
    ended = true;
    co_await all.sleep(milliseconds{50});
    const bool played = seen.run_by_old > 0 && seen.run_by_new > 0;
    co_return !played ? exit_not_run : seen.reverted > 0 ? exit_broken : exit_held;
}

} // namespace review
