#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <thread>

#include "figreach/controller.h"
#include "figreach/host_settings.h"
#include "figreach/rpc/store_link.h"
#include "figreach/runtime/admin_server.h"
#include "figreach/runtime/grant_client.h"
#include "figreach/runtime/metrics.h"
#include "figreach/runtime/peer_link.h"
#include "figreach/runtime/published_routes.h"
#include "figreach/runtime/request_plane.h"
#include "figreach/runtime/ring.h"
#include "figreach/runtime/server_link_registry.h"
#include "figreach/runtime/wake_signal.h"

namespace figreach {

/// One entry host with all its threads, which communicate through ring buffers. The control thread
/// receives events from the other threads, passes them to the controller and executes the actions
/// that it returns.
class entry_host {
public:
    /// Starts all threads. Throws boost::system::system_error or zmq::error_t if an address cannot
    /// be listened on.
    explicit entry_host(const host_settings& settings);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Passes a description that was just accepted to the control thread, so that it takes effect
    /// without waiting for the store. Must be called by one thread at a time.
    void configuration_changed(stored_value present);

    /// The current routes. They live as long as the host.
    [[nodiscard]] const published_routes& routing() const;

    /// Drains the host: /ready fails at once, the other hosts are notified, and after the balancer
    /// grace period new requests are refused. Returns once no request is in flight or the drain
    /// limit has passed. Must be called at most once.
    void drain();

private:
    void run();
    void drain_inboxes();
    void announce_leaving_once();
    void report_load(monotonic_time now);
    void report_idle_slices();
    [[nodiscard]] std::map<backend_server_id, std::vector<key_hash>>
    idle_slices(const partition& document) const;
    void add_metrics();
    void handle(const control_event& event);
    void execute(const send_to_host& action);
    void execute(const call_store& action);
    void execute(const call_server& action);
    void execute(const publish_routes& action);
    void execute(const extend_authority& action);

    metrics page;
    std::atomic<bool> has_routes{false};
    std::atomic<bool> leaving{false};
    std::atomic<std::uint64_t> description_version{0};
    milliseconds balancer_grace;
    milliseconds drain_limit;
    host_identity identity;
    controller control;
    wake_signal wakeup;
    ring<control_event> from_peers;
    ring<control_event> from_store;
    ring<control_event> from_servers;
    ring<control_event> from_operators;
    published_routes routes;
    server_link_registry links;
    std::shared_ptr<const routing_snapshot> published;
    peer_link peers;
    store_link store;
    grant_client grants;
    request_plane requests;
    monotonic_time load_reported_at{};
    bool leaving_announced = false;
    std::atomic<bool> stopping{false};
    admin_server admin;
    std::thread thread;
};

} // namespace figreach
