// Injection of faults, and what is undisturbed by them.

#include <algorithm>
#include <csignal>

#include "figreach/direct/runtime/change_signal.h"
#include "figreach/direct/stored_records.h"
#include "soak_run.h"

namespace figreach::soak {

namespace asio = boost::asio;

namespace {

constexpr milliseconds store_delay{300};
constexpr milliseconds link_delay{150};
constexpr double lost_fraction = 0.3;
constexpr double unconfirmed_fraction = 0.4;

} // namespace

bool soak_run::in_touch(const host_entry& host, const standin::backend_server& server,
                        monotonic_time now) const
{
    const auto place = std::find_if(this->servers.begin(), this->servers.end(),
                                    [&](const auto& one) { return one.server.get() == &server; });
    const auto last_fault =
        std::max({host.faulty_until, place->link_faulty_until, this->store_faulty_until});
    return now > last_fault + stable_window;
}

/// A host that cannot connect to a server passes requests on. Of a service without keys it does so
/// for any of its servers, and the next host chooses one.
bool soak_run::is_sent_to_directly(const standin::backend_server& server, monotonic_time now) const
{
    return std::all_of(this->servers.begin(), this->servers.end(), [&](const auto& place) {
        const auto& other = *place.server;
        const bool matters =
            &other == &server || (!server.divided_by_key() && !other.divided_by_key());
        const auto last_fault = std::max(place.link_faulty_until, place.absent_until);
        return !matters || now > last_fault + stable_window;
    });
}

void soak_run::record_fault_end(const planned_fault& fault)
{
    // A host that received SIGTERM keeps running for a while.
    const auto stopping = fault.kind == fault_kind::host_stopped ? stop_timeout : milliseconds{0};
    const auto end = monotonic_time::clock::now() + fault.duration + stopping;
    const auto extend = [end](monotonic_time& until) { until = std::max(until, end); };
    if (fault.kind == fault_kind::all_hosts_killed) {
        for (auto& host : this->hosts) {
            extend(host.faulty_until);
        }
    }
    else if (fault.kind <= fault_kind::host_cut_from_store) {
        extend(this->hosts[fault.target % this->hosts.size()].faulty_until);
    }
    else if (fault.kind <= fault_kind::store_restored) {
        extend(this->store_faulty_until);
    }
    else if (fault.kind >= fault_kind::link_delayed && fault.kind <= fault_kind::link_silent) {
        extend(this->servers[fault.target % this->servers.size()].link_faulty_until);
    }
}

/// A host is not in touch while it is down and just after its start.
void soak_run::record_host_starts()
{
    const auto now = monotonic_time::clock::now();
    for (auto& host : this->hosts) {
        const auto start_number = host.process->start_number();
        if (!host.process->is_running() || host.last_start != start_number) {
            host.faulty_until = std::max(host.faulty_until, now);
        }
        host.last_start = start_number;
    }
    for (auto& place : this->servers) {
        place.absent_until = place.server->is_up() ? place.absent_until : now;
    }
}

/// Ends all faults and restarts hosts and servers that are not running.
void soak_run::end_all_faults()
{
    this->store.faults = {};
    for (auto& place : this->servers) {
        place.link->faults = {};
        place.server->faults = {.ignores_fences = this->settings.servers_ignore_fences};
        if (!place.server->is_restarting()) {
            place.server->start();
        }
    }
    for (auto& host : this->hosts) {
        host.store_link->faults = {};
        host.process->signal(SIGCONT);
        host.process->start();
    }
}

asio::awaitable<void> soak_run::inject(planned_fault fault)
{
    this->record_fault_end(fault);
    if (fault.kind <= fault_kind::host_cut_from_store) {
        co_await this->inject_host_fault(fault);
    }
    else if (fault.kind <= fault_kind::store_restored) {
        co_await this->inject_store_fault(fault);
    }
    else if (fault.kind <= fault_kind::server_answers_lost ||
             fault.kind == fault_kind::server_resting ||
             fault.kind == fault_kind::server_refusals_unconfirmed) {
        co_await this->inject_server_fault(fault);
    }
    else if (fault.kind <= fault_kind::link_silent) {
        co_await this->inject_link_fault(fault);
    }
    else if (fault.kind == fault_kind::crashing_request) {
        co_await this->repeat_crashing_request(fault.target);
    }
    else {
        ++this->version;
        this->write_configuration();
    }
}

asio::awaitable<void> soak_run::inject_host_fault(planned_fault fault)
{
    auto& host = this->hosts[fault.target % this->hosts.size()];
    switch (fault.kind) {
    case fault_kind::host_reloaded:
        host.process->signal(SIGHUP);
        co_return;
    case fault_kind::host_paused:
        host.process->signal(SIGSTOP);
        co_await direct::sleep_for(this->io, fault.duration);
        this->checks.host_paused(host.process->name());
        host.process->signal(SIGCONT);
        co_return;
    case fault_kind::host_cut_from_store:
        host.store_link->faults = {.cut_to = true, .cut_from = true};
        co_await direct::sleep_for(this->io, fault.duration);
        host.store_link->faults = {};
        co_return;
    case fault_kind::all_hosts_killed:
        for (auto& one : this->hosts) {
            one.process->signal(SIGKILL);
        }
        break;
    default:
        host.process->signal(fault.kind == fault_kind::host_stopped ? SIGTERM : SIGKILL);
        break;
    }
    co_await direct::sleep_for(this->io, fault.duration);
    for (auto& one : this->hosts) {
        one.process->start();
    }
}

asio::awaitable<void> soak_run::inject_store_fault(planned_fault fault)
{
    auto& faults = this->store.faults;
    switch (fault.kind) {
    case fault_kind::store_leases_lapsed:
        for (const auto& one : this->model.list(direct::own_prefix)) {
            if (one.lease != 0) {
                this->model.end_lease(one.lease);
            }
        }
        this->store.notify();
        co_return;
    case fault_kind::store_history_dropped:
        this->model.drop_history();
        this->store.notify();
        co_return;
    case fault_kind::store_restored:
        // Nothing happens before the first copy is that old.
        static_cast<void>(this->model.restore(fault.duration, monotonic_time::clock::now()));
        this->store.notify();
        co_return;
    case fault_kind::store_silent:
        faults.silent = true;
        break;
    case fault_kind::store_busy:
        faults.busy = true;
        break;
    case fault_kind::store_slow:
        faults.delay = store_delay;
        break;
    default:
        faults.lost_answers = lost_fraction;
        break;
    }
    this->store.notify();
    co_await direct::sleep_for(this->io, fault.duration);
    faults = {};
}

asio::awaitable<void> soak_run::inject_server_fault(planned_fault fault)
{
    auto& server = *this->servers[fault.target % this->servers.size()].server;
    switch (fault.kind) {
    case fault_kind::server_crashed:
        server.crash();
        co_await direct::sleep_for(this->io, fault.duration);
        server.start();
        co_return;
    case fault_kind::server_left:
        co_await server.leave(seconds{2} + fault.duration);
        server.start();
        co_return;
    case fault_kind::server_silent:
        server.faults.silent = true;
        break;
    case fault_kind::server_resting:
        server.faults.rest = fault.duration;
        break;
    case fault_kind::server_refusals_unconfirmed:
        server.faults.unconfirmed_refusals = unconfirmed_fraction;
        break;
    case fault_kind::server_cut_from_store:
        server.faults.cut_from_store = true;
        break;
    default:
        server.faults.lost_answers = lost_fraction;
        break;
    }
    co_await direct::sleep_for(this->io, fault.duration);
    server.faults = {.ignores_fences = this->settings.servers_ignore_fences};
}

asio::awaitable<void> soak_run::inject_link_fault(planned_fault fault)
{
    auto& link = *this->servers[fault.target % this->servers.size()].link;
    if (fault.kind == fault_kind::link_reset) {
        link.reset();
        co_return;
    }
    link.faults = {.delay = fault.kind == fault_kind::link_delayed ? link_delay : milliseconds{0},
                   .cut_to = fault.kind == fault_kind::link_cut_to ||
                             fault.kind == fault_kind::link_silent,
                   .cut_from = fault.kind == fault_kind::link_cut_from ||
                               fault.kind == fault_kind::link_silent};
    co_await direct::sleep_for(this->io, fault.duration);
    link.faults = {};
}

} // namespace figreach::soak
