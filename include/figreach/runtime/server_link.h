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

/// What a link shows of its server at one moment.
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

    /// Waits until the request may be sent or is given up: gate_start or gate_refuse; empty when
    /// the caller left meanwhile.
    boost::asio::awaitable<std::optional<gate_decision>>
    admit(gate_request request, boost::asio::ip::tcp::socket& caller);
    /// Frees the slot of an admitted request; a second call for it is ignored.
    void finish(ticket id, gate_ending ending, nanoseconds latency);
    void set_authority(const gate_authority& authority);
    void set_slots(std::uint32_t slots);
    /// Whether a request may be sent at this very moment.
    [[nodiscard]] bool has_authority() const;
    /// A ticket that this link has not given out before.
    [[nodiscard]] ticket next_ticket();
    /// An answer of the server named its incarnation.
    void note_incarnation(std::uint64_t incarnation);

    /// Asks whether a request with an idempotency key may run.
    [[nodiscard]] window_decision begin(const window_request& request);
    void forget(const repeat_id& id);
    void finish(const repeat_id& id, std::optional<kept_answer> answer);
    void mark_unknown(const repeat_id& id);

    /// A request for a key with this hash is about to be sent. Asked for before the last look at
    /// the route, so that slices_idle() cannot miss it.
    void begin_use(key_hash hash);
    /// It is over; `ended` is false where it may still run at the server until `deadline`.
    void end_use(key_hash hash, bool ended, monotonic_time deadline);
    /// Whether no request for a hash from `first` to `last` runs or may run at the server.
    [[nodiscard]] bool is_idle(key_hash first, key_hash last) const;

    /// Counts a request for the slice that begins at `first`.
    void count(key_hash first);
    /// Requests seen since the last call, which was `over` ago, as rates by slice.
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
