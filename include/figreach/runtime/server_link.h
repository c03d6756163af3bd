#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figreach/idempotency_window.h"
#include "figreach/peer_message.h"
#include "figreach/server_gate.h"
#include "figreach/slices_in_use.h"

namespace figreach {

/// Snapshot of the load and limits of a backend server.
struct server_link_state {
    std::uint32_t running = 0;
    std::size_t waiting = 0;
    std::uint32_t limit = 0;
    bool cold = false;
    nanoseconds latency{0};
};

/// The gate and the idempotency window of one backend server, shared by the request threads of
/// its coordinator.
class server_link : public std::enable_shared_from_this<server_link> {
public:
    explicit server_link(gate_settings settings);

    /// Waits until the request is admitted (gate_start) or refused (gate_refuse). Empty if the
    /// caller disconnects first.
    boost::asio::awaitable<std::optional<gate_decision>>
    admit(gate_request request, boost::asio::ip::tcp::socket& caller);
    /// Releases the slot of an admitted request. A second call for the same request is ignored.
    void finish(ticket id, gate_ending ending, nanoseconds latency);
    void set_authority(const gate_authority& authority);
    void set_slots(std::uint32_t slots);
    /// Whether this host currently has authority to send requests to the server.
    [[nodiscard]] bool has_authority() const;
    /// Returns a ticket that is unique for this link.
    [[nodiscard]] ticket next_ticket();
    /// Reports the incarnation that the server stated in an answer.
    void note_incarnation(std::uint64_t incarnation);

    /// Asks the idempotency window whether a request with an idempotency key may run.
    [[nodiscard]] window_decision begin(const window_request& request);
    /// Removes a request that did not run from the window.
    void forget(const repeat_id& id);
    /// Records that the request has run, with its answer if that was kept.
    void finish(const repeat_id& id, std::optional<kept_answer> answer);
    /// Records that the outcome of the request is unknown.
    void mark_unknown(const repeat_id& id);

    /// Registers a request for a key with this hash as running. Must be called before the final
    /// route check, so that is_idle() cannot miss the request.
    void begin_use(key_hash hash);
    /// Ends a use. If `ended` is false, the request may still run at the server until `deadline`.
    void end_use(key_hash hash, bool ended, monotonic_time deadline);
    /// Whether no request for a hash in [`first`, `last`] is or may still be running at the server.
    [[nodiscard]] bool is_idle(key_hash first, key_hash last) const;

    /// Counts a request for the slice that begins at `first`.
    void count(key_hash first);
    /// Returns the request rates by slice since the last call, `over` ago, and resets the counts.
    [[nodiscard]] std::vector<slice_load> take_load(milliseconds over);
    [[nodiscard]] server_link_state state() const;

private:
    struct waiter;

    void deliver(const gate_decisions& decisions);
    [[nodiscard]] monotonic_time wake_time(monotonic_time deadline) const;
    void tick();
    void leave(ticket id);

    mutable std::mutex mutex;
    server_gate gate;
    idempotency_window window{{}};
    slices_in_use uses;
    std::map<key_hash, std::uint64_t> counts;
    ticket last_ticket = 0;
    std::unordered_map<ticket, std::shared_ptr<waiter>> waiters;
};

} // namespace figreach
