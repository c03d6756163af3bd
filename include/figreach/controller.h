#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "figreach/control.h"
#include "figreach/membership.h"

namespace figreach {

struct control_settings {
    milliseconds store_poll{1000};
    milliseconds grant_interval{250};
    milliseconds grant_duration{1000};
    milliseconds grant_timeout{200};
    membership_settings membership;
};

/// All control decisions of one entry host: takes events with the time, returns actions.
class controller {
public:
    controller(host_identity self, control_settings settings);

    [[nodiscard]] control_actions handle(const control_event& event, monotonic_time now);

private:
    struct granted_server {
        std::uint64_t sequence = 0;
        std::uint64_t term = 1;
        monotonic_time sent_at{};
        monotonic_time next_grant{};
    };

    void on_event(const tick& event, monotonic_time now);
    void on_event(const peer_received& event, monotonic_time now);
    void on_event(const store_answered& event, monotonic_time now);
    void on_event(const store_changed& event, monotonic_time now);
    void on_event(const server_answered& event, monotonic_time now);
    void on_event(const load_seen& event, monotonic_time now);

    void poll_store(monotonic_time now);
    void learn(const stored_value& value);
    void create_missing_partitions(monotonic_time now);
    void renew_grants(monotonic_time now);
    void send_grant(const backend_server& server, granted_server& state, monotonic_time now);
    void publish_if_changed(monotonic_time now);
    [[nodiscard]] gossip news() const;
    [[nodiscard]] std::vector<host_id> live_names(monotonic_time now) const;
    void ask_store(store_call what);

    host_identity self;
    control_settings settings;
    membership peers;
    std::shared_ptr<const description> shared;
    std::map<partition_id, std::shared_ptr<const partition>> partitions;
    std::map<backend_server_id, granted_server> granted;
    std::map<backend_server_id, server_route> routes;
    bool partitions_known = false;
    bool changed = false;
    monotonic_time next_poll{};
    std::uint64_t next_call = 1;
    control_actions actions;
};

} // namespace figreach
