#include "cases.hh"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "deployment.hh"
#include "figreach/direct/runtime/change_signal.h"
#include "figreach/retry_budget.h"
#include "link.hh"

namespace figreach::review {

namespace asio = boost::asio;

namespace {

constexpr milliseconds look_interval{10};
constexpr milliseconds caller_pause{15};
constexpr milliseconds settle_time{4000};
/// OWNER: "over half a second".
constexpr milliseconds allowed_overlap{500};

/// A request for a random key: two reads for each order.
std::function<call()> keyed_calls(deployment& all, std::uint64_t seed)
{
    return [&all, random = seed]() mutable {
        const bool idempotent = next_random(random) % 3 != 0;
        return call{.id = all.next_id(),
                    .path = idempotent ? "/read/plan" : "/order/pack",
                    .idempotent = idempotent,
                    .key = static_cast<std::uint32_t>(next_random(random) % direct::key_count),
                    .body = idempotent ? "" : "one pack"};
    };
}

/// As above; some keys, close to one another, are far busier than the others.
std::function<call()> skewed_calls(deployment& all, std::uint64_t seed)
{
    constexpr std::uint32_t first_busy = 16384;
    constexpr std::uint32_t busy_count = 4096;
    return [next = keyed_calls(all, seed), random = seed]() mutable {
        auto out = next();
        if (next_random(random) % 4 != 0) {
            out.key = first_busy + static_cast<std::uint32_t>(next_random(random) % busy_count);
        }
        return out;
    };
}

/// Looks at the workers' keys for a while.
asio::awaitable<void> watch_holders(deployment& all, holder_check& check, milliseconds time)
{
    const auto until = monotonic_time::clock::now() + time;
    while (monotonic_time::clock::now() < until) {
        check.look();
        co_await direct::sleep_for(all.io, look_interval);
    }
}

void add_keyed_workers(deployment& all, std::uint32_t count, std::uint32_t zones)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        all.add_worker({.id = "w-" + std::to_string(i + 1),
                        .service = "classroom",
                        .failure_domain = std::string{"kl-"} + static_cast<char>('a' + i % zones),
                        .divided_by_key = true});
    }
}

void start_all(deployment& all)
{
    all.write_configuration();
    for (const auto& one : all.workers) {
        one->start();
    }
    for (const auto& one : all.hosts) {
        one->start();
    }
    asio::co_spawn(all.io, all.sweep_entries(), asio::detached);
}

std::vector<host*> pointers(const deployment& all)
{
    std::vector<host*> out;
    for (const auto& one : all.hosts) {
        out.push_back(one.get());
    }
    return out;
}

worker* holder_of(const deployment& all, std::uint32_t key)
{
    const auto now = monotonic_time::clock::now();
    for (const auto& one : all.workers) {
        if (one->holds(key, now)) {
            return one.get();
        }
    }
    return nullptr;
}

std::string shared_runs(const deployment& all)
{
    std::string out = "; requests begun on keys that another one held, by worker:";
    for (const auto& [id, count] : all.runs_on_shared_keys) {
        out += " " + id + " " + std::to_string(count);
    }
    return out;
}

void finish(deployment& all, verdict& out, verdict result, const std::string& why)
{
    out = result;
    all.log.line("result: " + why);
    std::cout << why << "\n";
    all.io.stop();
}

/// Runs the case's coroutine to its end; the hosts end with the deployment.
template <class Body>
verdict play(const case_settings& settings, Body body)
{
    record log{settings.record};
    deployment all{settings.program, settings.folder, log};
    verdict out = verdict::could_not_run;
    asio::co_spawn(all.io, body(all, out), [&](const std::exception_ptr& failed) {
        if (failed) {
            log.line("the case failed to run");
            all.io.stop();
        }
    });
    all.io.run();
    return out;
}

/// Another writer's entry names a service that the configuration does not, at a live worker's
/// address.
asio::awaitable<void> foreign_entry(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t host_count = 6;
    constexpr std::uint32_t worker_count = 12;
    constexpr std::uint32_t callers = 12;
    constexpr milliseconds watched{8000};
    add_keyed_workers(all, worker_count, 3);
    for (std::uint32_t i = 0; i < host_count; ++i) {
        all.add_host("edge-" + std::to_string(i + 1),
                     std::string{"kl-"} + static_cast<char>('a' + i % 3));
    }
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(all.io, all.run_caller(pointers(all), keyed_calls(all, i + 1), caller_pause),
                       asio::detached);
    }
    holder_check check{all};
    co_await watch_holders(all, check, settle_time);
    if (check.longest() > allowed_overlap) {
        finish(all, out, verdict::could_not_run, "keys held twice before the disruption");
        co_return;
    }
    constexpr std::uint32_t some_key = 4096;
    const auto* target = holder_of(all, some_key);
    if (target == nullptr) {
        finish(all, out, verdict::could_not_run, "a key has no holder");
        co_return;
    }
    if (trouble != 0) {
        const auto text = target->entry_for("reports", unix_ms());
        all.log.line("another writer: servers/x-reports " + text + " (address of " +
                     target->about().id + ", which runs on)");
        all.write_item("servers/x-reports", text);
    }
    co_await watch_holders(all, check, watched);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    const bool broken = check.longest() > allowed_overlap;
    finish(all, out, broken ? verdict::broken : verdict::held,
           "OWNER: " + std::to_string(check.keys_held_twice()) +
               " of 512 sampled keys held by two live workers for over 500 ms, longest " +
               std::to_string(check.longest().count()) + " ms" + shared_runs(all));
}

/// Some workers are partitioned from the store, so that their entries lapse, and crash behind the
/// cut.
asio::awaitable<void> cut_from_store(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t host_count = 6;
    constexpr std::uint32_t worker_count = 12;
    constexpr std::size_t cut_count = 3;
    constexpr std::uint32_t callers = 60;
    constexpr milliseconds drain_limit{2000};
    constexpr milliseconds lapse_limit{6000};
    constexpr milliseconds serves_on{2300}; ///< from the lapse to the crash
    constexpr milliseconds watched{3000};
    add_keyed_workers(all, worker_count, 3);
    for (std::uint32_t i = 0; i < host_count; ++i) {
        all.add_host("edge-" + std::to_string(i + 1),
                     std::string{"kl-"} + static_cast<char>('a' + i % 3));
    }
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(all.io, all.run_caller(pointers(all), keyed_calls(all, i + 1), caller_pause),
                       asio::detached);
    }
    co_await direct::sleep_for(all.io, settle_time);
    std::vector<worker*> cut;
    for (std::size_t i = 0; trouble != 0 && i < cut_count; ++i) {
        cut.push_back(all.workers[i * 4].get());
        cut.back()->reports = false;
        all.log.line("cut from the store: " + cut.back()->about().id);
    }
    const auto is_listed = [&](const worker* one) {
        return all.model.find(one->entry_key()).has_value();
    };
    const auto until = monotonic_time::clock::now() + lapse_limit;
    while (std::any_of(cut.begin(), cut.end(), is_listed) && monotonic_time::clock::now() < until) {
        co_await direct::sleep_for(all.io, look_interval);
    }
    const auto gone_at = monotonic_time::clock::now();
    std::uint64_t late = 0;
    for (auto* one : cut) {
        const auto noted = one->on_arrival;
        one->on_arrival = [&, noted](const worker& at, const worker_request& what) {
            noted(at, what);
            if (all.calls[what.id].sent_at <= gone_at + drain_limit) {
                return;
            }
            ++late;
            const auto age =
                std::chrono::duration_cast<milliseconds>(monotonic_time::clock::now() - gone_at);
            all.log.line("late: " + what.id + " reaches " + at.about().id + " " +
                         std::to_string(age.count()) + " ms after its entry was gone");
        };
    }
    co_await direct::sleep_for(all.io, serves_on);
    for (auto* one : cut) {
        all.log.line("crashes: " + one->about().id);
        one->end();
    }
    co_await direct::sleep_for(all.io, watched);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    std::uint64_t lost = 0;
    for (const auto& [id, one] : all.calls) {
        const bool is_late = one.sent_at > gone_at + drain_limit;
        const bool unknown = !one.answered || one.status == 502;
        lost += is_late && unknown && !one.idempotent && one.arrived ? 1U : 0U;
    }
    finish(all, out, late > 0 ? verdict::broken : verdict::held,
           "DRAIN: " + std::to_string(late) +
               " requests sent later than drain_s reached workers that were gone; " +
               std::to_string(lost) + " orders among them were lost in the crash");
}

/// Clients send long bodies in chunks at the same time. The platform ends processes beyond their
/// memory.
asio::awaitable<void> chunked_uploads(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t worker_count = 6;
    constexpr std::uint32_t callers = 45;
    constexpr std::uint32_t uploads = 6;
    constexpr std::size_t body_bytes = std::size_t{30} * 1024 * 1024;
    constexpr std::uint64_t memory_mib = 260;
    constexpr std::uint64_t allowed_losses = 3; ///< LOST: "more than three times"
    constexpr milliseconds send_time{2000};
    constexpr milliseconds watched{24000};
    constexpr milliseconds memory_interval{5};
    for (std::uint32_t i = 0; i < worker_count; ++i) {
        all.add_worker({.id = "s-" + std::to_string(i + 1),
                        .service = "studio",
                        .failure_domain = std::string{"kl-"} + static_cast<char>('a' + i % 3),
                        .divided_by_key = false,
                        .work = milliseconds{140}});
    }
    add_keyed_workers(all, worker_count, 3);
    for (std::uint32_t i = 0; i < 3; ++i) {
        all.add_host("edge-" + std::to_string(i + 1),
                     std::string{"kl-"} + static_cast<char>('a' + i % 3));
    }
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(all.io, all.run_caller(pointers(all), keyed_calls(all, i + 1), caller_pause),
                       asio::detached);
    }
    co_await direct::sleep_for(all.io, settle_time);
    auto& target = *all.hosts.front();
    std::uint32_t pending = uploads;
    const auto upload = [&](std::uint32_t count) -> asio::awaitable<void> {
        const auto connection = co_await all.connect(target);
        for (std::uint32_t i = 0; i < count && connection; ++i) {
            call what;
            what.id = all.next_id();
            what.path = "/upload/audio";
            what.idempotent = false;
            what.body = std::string(body_bytes, 'u');
            what.send_time = send_time;
            what.time_limit = milliseconds{3000};
            co_await all.send(*connection, target, std::move(what), i > 0);
            --pending;
        }
    };
    all.log.line(trouble != 0 ? "six uploads at the same time" : "six uploads one after the other");
    for (std::uint32_t i = 0; i < (trouble != 0 ? uploads : 1U); ++i) {
        asio::co_spawn(all.io, upload(trouble != 0 ? 1U : uploads), asio::detached);
    }
    std::uint64_t most = 0;
    bool killed = false;
    const auto until = monotonic_time::clock::now() + watched;
    while (monotonic_time::clock::now() < until && !killed && pending > 0) {
        most = std::max(most, target.resident_mib());
        if (most > memory_mib) {
            killed = true;
            all.log.line("platform: " + target.name() + " exceeds its memory with " +
                         std::to_string(most) + " MiB and is killed");
            target.signal(SIGKILL);
        }
        co_await direct::sleep_for(all.io, memory_interval);
    }
    co_await direct::sleep_for(all.io, settle_time);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    std::uint64_t lost = 0;
    std::uint64_t kept = 0;
    for (const auto& [id, one] : all.calls) {
        const bool at_target = one.host == target.name() && one.arrived && !one.answered;
        lost += at_target ? 1U : 0U;
        kept += at_target && one.kept_connection ? 1U : 0U;
    }
    finish(all, out, killed && kept > allowed_losses ? verdict::broken : verdict::held,
           "LOST: memory at most " + std::to_string(most) + " MiB of " +
               std::to_string(memory_mib) + "; " + std::to_string(lost) +
               " requests passed on to a worker were never answered, " + std::to_string(kept) +
               " of them on kept connections");
}

/// The leader's zone is cut off; the answer to the other host's first claim of the lead is lost.
/// With trouble 2 the zone is cut off and no answer is lost.
asio::awaitable<void> claim_twice(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t worker_count = 6;
    constexpr std::uint32_t callers = 8;
    constexpr milliseconds cut_time{6800};
    constexpr milliseconds healed_time{8000};
    add_keyed_workers(all, worker_count, 2);
    link to_store_a{all.io, all.store.address()};
    link to_store_b{all.io, all.store.address()};
    auto& host_a = all.add_host("edge-a", "kl-a", to_store_a.address());
    auto& host_b = all.add_host("edge-b", "kl-b", to_store_b.address());
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(
            all.io,
            all.run_caller({i % 2 == 0 ? &host_a : &host_b}, keyed_calls(all, i + 1), caller_pause),
            asio::detached);
    }
    holder_check check{all};
    co_await watch_holders(all, check, settle_time);
    const auto leading = all.model.find("figreach/leader");
    if (!leading || check.longest() > allowed_overlap) {
        finish(all, out, verdict::could_not_run, "no steady state");
        co_return;
    }
    const bool a_leads = leading->item.value == host_a.name();
    auto& cut_host = a_leads ? host_a : host_b;
    auto& cut_link = a_leads ? to_store_a : to_store_b;
    auto& other_link = a_leads ? to_store_b : to_store_a;
    const std::string cut_zone = a_leads ? "kl-a" : "kl-b";
    bool cut = trouble != 0;
    // Within the cut zone all reach each other; nothing passes between it and the rest.
    for (const auto& one : all.workers) {
        const bool inside = one->about().failure_domain == cut_zone;
        one->is_cut_from = [&cut, &cut_host, inside](std::uint16_t port) {
            return cut && cut_host.owns_port(port) != inside;
        };
        one->reports = !cut || !inside;
    }
    cut_link.cut = cut;
    if (cut) {
        all.log.line("zone " + cut_zone + " with the leader " + cut_host.name() +
                     " is cut from the other zone and the store");
    }
    bool lost = false;
    if (trouble == 1) {
        other_link.loses_answer = [&](std::string_view bytes) {
            if (lost || bytes.find("figreach/leader") == std::string_view::npos ||
                bytes.find("/kv-txn") == std::string_view::npos) {
                return false;
            }
            lost = true;
            all.log.line("the store carries out a claim of the lead; its answer is lost");
            return true;
        };
    }
    co_await watch_holders(all, check, cut_time);
    cut = false;
    cut_link.cut = false;
    for (const auto& one : all.workers) {
        one->reports = true;
    }
    all.log.line("the zones are connected");
    co_await watch_holders(all, check, healed_time);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    const bool broken = check.longest() > allowed_overlap;
    finish(all, out, broken ? verdict::broken : verdict::held,
           "OWNER: " + std::to_string(check.keys_held_twice()) +
               " of 512 sampled keys held by two live workers for over 500 ms, longest " +
               std::to_string(check.longest().count()) + " ms" + shared_runs(all));
}

/// The store comes back from a copy that is older than the first leader, while one host starts
/// anew. With trouble 2 no host starts anew.
asio::awaitable<void> restored_store(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t host_count = 6;
    constexpr std::uint32_t worker_count = 12;
    constexpr std::uint32_t callers = 40;
    constexpr milliseconds away{1600};
    constexpr milliseconds watched{8000};
    constexpr milliseconds restart_delay{800};
    add_keyed_workers(all, worker_count, 3);
    for (std::uint32_t i = 0; i < host_count; ++i) {
        all.add_host("edge-" + std::to_string(i + 1),
                     std::string{"kl-"} + static_cast<char>('a' + i % 3));
    }
    all.write_configuration();
    const auto copied_at = monotonic_time::clock::now();
    all.model.take_copy(copied_at);
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(all.io,
                       all.run_caller(pointers(all), skewed_calls(all, i + 1), caller_pause),
                       asio::detached);
    }
    holder_check check{all};
    co_await watch_holders(all, check, settle_time);
    const auto leading = all.model.find("figreach/leader");
    if (!leading || check.longest() > allowed_overlap) {
        finish(all, out, verdict::could_not_run, "no steady state");
        co_return;
    }
    auto& restarted = leading->item.value == all.hosts[0]->name() ? *all.hosts[1] : *all.hosts[0];
    if (trouble != 0) {
        all.store.faults.silent = true;
        all.log.line("the store is away; " + leading->item.value + " leads");
        if (trouble == 1) {
            restarted.signal(SIGKILL);
            all.log.line("killed: " + restarted.name());
        }
        co_await watch_holders(all, check, restart_delay);
        if (trouble == 1 && !restarted.is_running()) {
            restarted.start();
            all.log.line("started again: " + restarted.name());
        }
        co_await watch_holders(all, check, away - restart_delay);
        const auto now = monotonic_time::clock::now();
        const auto age = std::chrono::duration_cast<milliseconds>(now - copied_at);
        if (!all.model.restore(age, now)) {
            finish(all, out, verdict::could_not_run, "no copy of the store");
            co_return;
        }
        all.store.faults.silent = false;
        all.store.notify();
        all.log.line("the store is back from a copy that is " + std::to_string(age.count()) +
                     " ms old");
    }
    co_await watch_holders(all, check, watched);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    const bool broken = check.longest() > allowed_overlap;
    finish(all, out, broken ? verdict::broken : verdict::held,
           "OWNER: " + std::to_string(check.keys_held_twice()) +
               " of 512 sampled keys held by two live workers for over 500 ms, longest " +
               std::to_string(check.longest().count()) + " ms" + shared_runs(all));
}

/// The leader is cut from the store and the other hosts while it reaches the workers. A zone is
/// emptied, and one of its workers starts again under its id. With trouble 2 no worker starts
/// again.
asio::awaitable<void> restarted_worker(deployment& all, verdict& out, int trouble)
{
    constexpr std::uint32_t host_count = 6;
    constexpr std::uint32_t worker_count = 12;
    constexpr std::uint32_t callers = 40;
    constexpr milliseconds until_evacuation{3000};
    constexpr milliseconds until_crash{350};
    constexpr milliseconds down{700};
    constexpr milliseconds until_healed{5500};
    constexpr milliseconds watched{6000};
    add_keyed_workers(all, worker_count, 3);
    std::vector<std::unique_ptr<linked_host>> hosts;
    for (std::uint32_t i = 0; i < host_count; ++i) {
        hosts.push_back(
            std::make_unique<linked_host>(all, "edge-" + std::to_string(i + 1),
                                          std::string{"kl-"} + static_cast<char>('a' + i % 3)));
    }
    start_all(all);
    if (!co_await all.wait_until_ready()) {
        finish(all, out, verdict::could_not_run, "the hosts are not ready");
        co_return;
    }
    for (std::uint32_t i = 0; i < callers; ++i) {
        asio::co_spawn(all.io, all.run_caller(pointers(all), keyed_calls(all, i + 1), caller_pause),
                       asio::detached);
    }
    holder_check check{all};
    co_await watch_holders(all, check, settle_time);
    const auto leading = all.model.find("figreach/leader");
    const auto leader = std::find_if(hosts.begin(), hosts.end(), [&](const auto& one) {
        return leading && one->process.name() == leading->item.value;
    });
    if (leader == hosts.end() || check.longest() > allowed_overlap) {
        finish(all, out, verdict::could_not_run, "no steady state");
        co_return;
    }
    const std::string zone = "kl-a";
    std::vector<worker*> inside;
    for (const auto& one : all.workers) {
        if (one->about().failure_domain == zone) {
            inside.push_back(one.get());
        }
    }
    if (trouble != 0) {
        (*leader)->set_cut(true);
        all.log.line("cut from the store and the other hosts: " + (*leader)->process.name() +
                     ", which leads");
    }
    co_await watch_holders(all, check, until_evacuation);
    all.write_item("op/evacuate/" + zone, "{}");
    all.log.line("evacuated: " + zone);
    co_await watch_holders(all, check, until_crash);
    for (auto* one : inside) {
        if (trouble == 1) {
            all.log.line("crashes: " + one->about().id + " in " + zone);
            one->end();
        }
    }
    co_await watch_holders(all, check, down);
    for (auto* one : inside) {
        if (trouble == 1) {
            one->start();
            all.log.line("starts again under its id: " + one->about().id);
        }
    }
    co_await watch_holders(all, check, until_healed);
    (*leader)->set_cut(false);
    all.log.line("nothing is cut any more");
    co_await watch_holders(all, check, watched);
    all.callers_active = false;
    co_await direct::sleep_for(all.io, settle_time);
    const bool broken = check.longest() > allowed_overlap;
    finish(all, out, broken ? verdict::broken : verdict::held,
           "OWNER: " + std::to_string(check.keys_held_twice()) +
               " of 512 sampled keys held by two live workers for over 500 ms, longest " +
               std::to_string(check.longest().count()) + " ms" + shared_runs(all));
}

template <asio::awaitable<void> (*body)(deployment&, verdict&, int)>
verdict play_case(const case_settings& settings)
{
    return play(settings, [&settings](deployment& all, verdict& out) {
        return body(all, out, settings.trouble);
    });
}

} // namespace

const std::map<std::string, case_function>& all_cases()
{
    static const std::map<std::string, case_function> out{
        {"foreign-entry", play_case<foreign_entry>},
        {"cut-from-store", play_case<cut_from_store>},
        {"chunked-uploads", play_case<chunked_uploads>},
        {"claim-twice", play_case<claim_twice>},
        {"restarted-worker", play_case<restarted_worker>},
        {"restored-store", play_case<restored_store>},
    };
    return out;
}

} // namespace figreach::review
