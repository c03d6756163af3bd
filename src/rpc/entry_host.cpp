#include "figreach/rpc/entry_host.h"

namespace figreach {

namespace {

constexpr std::size_t inbox_capacity = 4096;
constexpr milliseconds tick_interval{25};
constexpr milliseconds store_timeout{1000};

/// Grows with each start of the process, so that a restarted host is told from its former self.
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

} // namespace

entry_host::entry_host(const host_settings& settings)
    : identity{identity_of(settings)},
      decisions{this->identity, {}},
      from_peers{inbox_capacity, [this] { this->bell.ring(); }},
      from_store{inbox_capacity, [this] { this->bell.ring(); }},
      from_servers{inbox_capacity, [this] { this->bell.ring(); }},
      from_operators{inbox_capacity, [this] { this->bell.ring(); }},
      peers{settings.peer_address, settings.name, this->identity.incarnation, this->from_peers},
      store{settings.store_address, store_timeout, this->from_store},
      servers{this->from_servers},
      requests{plane_settings(settings), this->routes, this->links},
      duty{[this] { this->run(); }}
{
}

entry_host::~entry_host()
{
    this->stopping = true;
    this->bell.ring();
    this->duty.join();
}

void entry_host::configuration_changed(stored_value present)
{
    this->from_operators.push(store_changed{std::move(present)});
}

const route_board& entry_host::routing() const
{
    return this->routes;
}

void entry_host::run()
{
    auto next_tick = monotonic_time::clock::now();
    while (!this->stopping) {
        this->take_events();
        const auto now = monotonic_time::clock::now();
        if (now >= next_tick) {
            this->take(tick{});
            next_tick = now + tick_interval;
        }
        this->bell.wait_until(next_tick);
    }
}

void entry_host::take_events()
{
    for (auto* inbox :
         {&this->from_peers, &this->from_store, &this->from_servers, &this->from_operators}) {
        while (const auto event = inbox->pop()) {
            this->take(*event);
        }
    }
}

void entry_host::take(const control_event& event)
{
    for (const auto& action : this->decisions.handle(event, monotonic_time::clock::now())) {
        std::visit([this](const auto& one) { this->carry_out(one); }, action);
    }
}

void entry_host::carry_out(const send_to_host& action)
{
    this->peers.send(action);
}

void entry_host::carry_out(const call_store& action)
{
    this->store.call(action);
}

void entry_host::carry_out(const call_server& action)
{
    this->servers.call(action);
}

void entry_host::carry_out(const publish_routes& action)
{
    this->published = action.snapshot;
    this->links.update(*action.snapshot);
    this->routes.publish(action.snapshot);
}

void entry_host::carry_out(const extend_authority& action)
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
