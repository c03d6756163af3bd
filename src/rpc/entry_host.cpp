#include "figreach/rpc/entry_host.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "figreach/runtime/log.h"
#include "figreach/runtime/route_log.h"

namespace figreach {

namespace {

constexpr std::size_t inbox_capacity = 4096;
constexpr milliseconds tick_interval{25};
constexpr milliseconds store_timeout{1000};
constexpr milliseconds load_report_interval{1000};
constexpr milliseconds drain_poll_interval{20};
constexpr milliseconds leave_notice_period{500}; ///< time for probes to inform the other hosts

/// Increases with each start of the process, so that a restarted host can be told from its previous
/// incarnation.
std::uint64_t new_incarnation()
{
    const auto since = calendar_time::clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

host_identity identity_of(const host_settings& settings)
{
    return {.name = settings.name,
            .incarnation = new_incarnation(),
            .failure_domain = settings.failure_domain,
            .peer_address = settings.peer_address,
            .forward_address = settings.forward_address,
            .seeds = settings.seeds};
}

request_plane_settings plane_settings(const host_settings& settings)
{
    return {.self = settings.name,
            .caller_address = settings.caller_address,
            .forward_address = settings.forward_address,
            .threads = settings.request_threads};
}

peer_security security_of(const host_settings& settings)
{
    auto out = read_peer_security(settings.peer_public_key, settings.peer_secret_key);
    out.allow_plaintext = settings.allow_plaintext;
    return out;
}

/// Sets the host name of the log before any thread can write a line.
const host_settings& with_log_host(const host_settings& settings)
{
    set_log_host(settings.name);
    return settings;
}

} // namespace

entry_host::entry_host(const host_settings& settings)
    : balancer_grace{settings.balancer_grace},
      drain_limit{settings.drain_limit},
      identity{identity_of(with_log_host(settings))},
      control{this->identity, {}},
      from_peers{inbox_capacity, [this] { this->wakeup.notify(); }},
      from_store{inbox_capacity, [this] { this->wakeup.notify(); }},
      from_servers{inbox_capacity, [this] { this->wakeup.notify(); }},
      from_operators{inbox_capacity, [this] { this->wakeup.notify(); }},
      peers{settings.peer_address, settings.name, this->identity.incarnation, this->from_peers,
            security_of(settings)},
      store{settings.store_address, store_timeout, this->from_store},
      grants{this->from_servers},
      requests{plane_settings(settings), this->routes, this->links, this->page},
      admin{settings.admin_address, this->page,
            [this] { return this->has_routes && !this->leaving; }},
      thread{[this] { this->run(); }}
{
    this->add_metrics();
}

entry_host::~entry_host()
{
    this->stopping = true;
    this->wakeup.notify();
    this->thread.join();
}

void entry_host::configuration_changed(stored_value present)
{
    this->from_operators.push(store_changed{std::move(present)});
}

const published_routes& entry_host::routing() const
{
    return this->routes;
}

void entry_host::drain()
{
    this->leaving = true;
    this->wakeup.notify();
    std::this_thread::sleep_for(std::max(this->balancer_grace, leave_notice_period));
    this->requests.begin_drain();
    const auto until = monotonic_time::clock::now() + this->drain_limit;
    while (this->requests.in_flight() > 0 && monotonic_time::clock::now() < until) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    log_event(log_level::info, "drained",
              {{"in_flight", std::to_string(this->requests.in_flight())}});
}

void entry_host::run()
{
    auto next_tick = monotonic_time::clock::now();
    while (!this->stopping) {
        this->drain_inboxes();
        const auto now = monotonic_time::clock::now();
        if (now >= next_tick) {
            this->announce_leaving_once();
            this->handle(tick{});
            this->report_load(now);
            this->report_idle_slices();
            next_tick = now + tick_interval;
        }
        this->wakeup.wait_until(next_tick);
    }
}

void entry_host::drain_inboxes()
{
    for (auto* inbox :
         {&this->from_peers, &this->from_store, &this->from_servers, &this->from_operators}) {
        while (const auto event = inbox->pop()) {
            this->handle(*event);
        }
    }
}

void entry_host::announce_leaving_once()
{
    if (this->leaving && !this->leaving_announced) {
        this->leaving_announced = true;
        this->control.leave();
    }
}

void entry_host::report_load(monotonic_time now)
{
    if (!this->published || now < this->load_reported_at + load_report_interval) {
        return;
    }
    const auto over = std::chrono::duration_cast<milliseconds>(now - this->load_reported_at);
    const bool first = this->load_reported_at == monotonic_time{};
    this->load_reported_at = now;
    const auto snapshot = this->published;
    for (const auto& [name, route] : snapshot->servers) {
        const auto link = route.coordinated_here ? this->links.find(name) : nullptr;
        if (!link) {
            continue;
        }
        auto slices = link->take_load(over);
        if (!first) {
            this->handle(
                observed_load{.server = name, .interval = over, .slices = std::move(slices)});
        }
    }
}

/// Reports moving slices in which no request of this host is running to the controller.
void entry_host::report_idle_slices()
{
    if (!this->published) {
        return;
    }
    const auto snapshot = this->published;
    for (const auto& [id, document] : snapshot->partitions) {
        for (auto& [server, firsts] : this->idle_slices(*document)) {
            this->handle(slices_idle{.known = {.id = id, .version = document->version},
                                     .server = server,
                                     .firsts = std::move(firsts)});
        }
    }
}

std::map<backend_server_id, std::vector<key_hash>>
entry_host::idle_slices(const partition& document) const
{
    std::map<backend_server_id, std::vector<key_hash>> out;
    for (std::size_t i = 0; i < document.slices.size(); ++i) {
        const auto& slice = document.slices[i];
        const auto link = slice.moving_to ? this->links.find(owner_of(document, i)) : nullptr;
        if (link && link->is_idle(slice.first, last_hash(document, i))) {
            out[owner_of(document, i)].push_back(slice.first);
        }
    }
    return out;
}

void entry_host::add_metrics()
{
    const auto counter = [this](std::string name, std::string help, std::string labels,
                                std::function<std::uint64_t()> read) {
        this->page.add({.name = std::move(name),
                        .help = std::move(help),
                        .labels = std::move(labels),
                        .type = metric_type::counter,
                        .read = std::move(read)});
    };
    const auto gauge = [this](std::string name, std::string help,
                              std::function<std::uint64_t()> read) {
        this->page.add({.name = std::move(name),
                        .help = std::move(help),
                        .labels = {},
                        .type = metric_type::gauge,
                        .read = std::move(read)});
    };
    const std::string calls_help = "Calls to the platform's store, by outcome.";
    counter("store_calls_total", calls_help, to_label("outcome", "answered"),
            [this] { return this->store.answered(); });
    counter("store_calls_total", calls_help, to_label("outcome", "conflict"),
            [this] { return this->store.conflicts(); });
    counter("store_calls_total", calls_help, to_label("outcome", "silent"),
            [this] { return this->store.unanswered(); });
    const std::string grants_help = "Grants sent to backend servers, by outcome.";
    counter("grants_total", grants_help, to_label("outcome", "answered"),
            [this] { return this->grants.answered(); });
    counter("grants_total", grants_help, to_label("outcome", "silent"),
            [this] { return this->grants.unanswered(); });
    const std::string ring_help = "Items given up because a ring between threads was full.";
    counter("ring_refusals_total", ring_help, to_label("ring", "from_peers"),
            [this] { return this->from_peers.refusals(); });
    counter("ring_refusals_total", ring_help, to_label("ring", "from_store"),
            [this] { return this->from_store.refusals(); });
    counter("ring_refusals_total", ring_help, to_label("ring", "from_servers"),
            [this] { return this->from_servers.refusals(); });
    counter("ring_refusals_total", ring_help, to_label("ring", "to_peers"),
            [this] { return this->peers.dropped(); });
    counter("ring_refusals_total", ring_help, to_label("ring", "to_store"),
            [this] { return this->store.dropped(); });
    counter("malformed_peer_messages_total", "Messages of other hosts that could not be read.", {},
            [this] { return this->peers.malformed(); });
    gauge("store_reachable", "Whether the last call to the store got an answer.",
          [this] { return this->store.reachable() ? 1U : 0U; });
    gauge("description_version", "Version of the description in force here.",
          [this] { return this->description_version.load(); });
    gauge("requests_in_flight", "Requests under way.",
          [this] { return this->requests.in_flight(); });
}

void entry_host::handle(const control_event& event)
{
    for (const auto& action : this->control.handle(event, monotonic_time::clock::now())) {
        std::visit([this](const auto& one) { this->execute(one); }, action);
    }
}

void entry_host::execute(const send_to_host& action)
{
    this->peers.send(action);
}

void entry_host::execute(const call_store& action)
{
    this->store.call(action);
}

void entry_host::execute(const call_server& action)
{
    this->grants.call(action);
}

void entry_host::execute(const publish_routes& action)
{
    log_route_changes(this->published.get(), *action.snapshot);
    this->published = action.snapshot;
    this->description_version =
        action.snapshot->system_description ? action.snapshot->system_description->version : 0;
    this->has_routes = true;
    this->links.update(*action.snapshot);
    this->routes.publish(action.snapshot);
}

void entry_host::execute(const extend_authority& action)
{
    const auto link = this->links.find(action.server);
    if (!link || !this->published) {
        return;
    }
    const auto route = this->published->servers.find(action.server);
    const bool takes_new_work =
        route != this->published->servers.end() && route->second.takes_new_work;
    link->set_authority({.until = action.until,
                         .in_flight_elsewhere = action.in_flight_elsewhere,
                         .incarnation = action.incarnation,
                         .cold = action.cold,
                         .takes_new_work = takes_new_work});
}

} // namespace figreach
