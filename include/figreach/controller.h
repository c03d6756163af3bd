#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "figreach/control.h"
#include "figreach/description_table.h"
#include "figreach/membership.h"
#include "figreach/ownership.h"

namespace figreach {

class assigner;

struct control_settings {
    milliseconds description_poll{1000};
    milliseconds standby_description_poll{3000};
    membership_settings membership;
    ownership_settings ownership;
};

/// Makes all control decisions of one entry host: receives events with the current time and returns
/// actions.
class controller {
public:
    controller(host_identity self, const control_settings& settings);

    [[nodiscard]] control_actions handle(const control_event& event, monotonic_time now);

    /// Announces to the other hosts that this host is leaving, so that it gives up its servers.
    void leave();

private:
    void on_event(const tick& event, monotonic_time now);
    void on_event(const peer_received& event, monotonic_time now);
    void on_event(const store_answered& event, monotonic_time now);
    void on_event(const store_changed& event, monotonic_time now);
    void on_event(const server_answered& event, monotonic_time now);
    void on_event(const observed_load& event, monotonic_time now);
    void on_event(const slices_idle& event, monotonic_time now);

    void poll_description(monotonic_time now);
    void exchange_description(const peer_message& message, monotonic_time now);
    void merge_hints(const peer_message& message);
    void merge_hints(const gossip& received);
    void announce_takeovers(monotonic_time now);
    void remember_hosts(monotonic_time now);
    [[nodiscard]] const host_state* find_host(const host_id& name) const;
    void request_description(const gossip& received, const host_id& from, monotonic_time now);
    void publish_if_changed();
    [[nodiscard]] std::map<backend_server_id, server_route> current_routes() const;
    [[nodiscard]] server_route route_to(const backend_server& server, bool coordinated_here) const;
    [[nodiscard]] gossip local_gossip(monotonic_time now) const;
    [[nodiscard]] cluster_view current_view(monotonic_time now);
    void send(const host_id& to, peer_body body);
    void append(control_actions more);

    host_identity self;
    control_settings settings;
    membership peers;
    description_table descriptions;
    std::shared_ptr<assigner> partition_assigner;
    ownership local_ownership;
    std::vector<host_state> hosts;
    std::map<host_id, host_state> recent_hosts; ///< includes hosts that were alive recently
    std::map<host_id, monotonic_time> last_live_at;
    std::map<backend_server_id, coordinator_hint> hints;
    std::set<backend_server_id> coordinated;
    std::shared_ptr<const routing_snapshot> published;
    monotonic_time next_description_poll{};
    monotonic_time next_description_request{};
    std::uint64_t next_call = 1;
    control_actions actions;
};

} // namespace figreach
