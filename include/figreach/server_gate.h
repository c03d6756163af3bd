#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "figreach/concurrency_limit.h"
#include "figreach/error_kind.h"
#include "figreach/fair_queue.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// The request may be sent now; it holds a slot until finish().
struct gate_start {
    ticket id = 0;
};

/// The request waits; a later call returns its gate_start or gate_refuse.
struct gate_wait {
    ticket id = 0;
};

/// The request is given up, at once and finally.
struct gate_refuse {
    ticket id = 0;
    error_kind kind = error_kind::overloaded;
    milliseconds retry_after{0};
};

using gate_decision = std::variant<gate_start, gate_wait, gate_refuse>;
using gate_decisions = std::vector<gate_decision>;

/// How a request that held a slot ended, as seen by the sender.
enum class gate_ending : std::uint8_t {
    answered,  ///< the server answered
    refused,   ///< the server refused it because it sheds load
    failed,    ///< the connection was lost: the server may have restarted cold
    late,      ///< the deadline passed first
    cancelled, ///< the caller left
    not_sent,  ///< nothing was sent, or the server refused it for a stale fence
};

struct gate_settings {
    std::uint32_t slots = 4;
    std::uint32_t max_queue_length = 64;
    milliseconds max_wait{500};    ///< expected; beyond, a request is refused at once
    milliseconds retry_after{200}; ///< where the queue gives no better time
    milliseconds max_retry_after{10000};
    milliseconds initial_pause{50}; ///< after the server shed a request
    milliseconds max_pause{2000};
    std::uint64_t seed = 1; ///< of the jitter
};

/// What the coordinator's control says of the server.
struct gate_authority {
    monotonic_time until{};                ///< nothing starts from this time on
    std::uint32_t in_flight_elsewhere = 0; ///< slots taken by requests of earlier coordinators
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool takes_new_work = true;
};

/// Admission to one backend server: slots, adaptive limit, cold cap, fair queue and shedding. One
/// gate for each server, at its coordinator. Every request that arrives gets exactly one
/// gate_start or gate_refuse, unless it leaves. Not thread-safe.
class server_gate {
public:
    explicit server_gate(gate_settings settings);

    /// Decides about a new request, and about others that give way to it.
    [[nodiscard]] gate_decisions arrive(const gate_request& request, monotonic_time now);
    /// Frees the slot of a started request. Another ticket is ignored.
    [[nodiscard]] gate_decisions finish(ticket id, gate_ending ending, nanoseconds latency,
                                        monotonic_time now);
    /// Removes a waiting request whose caller left. Does nothing for another ticket.
    void leave(ticket id);
    [[nodiscard]] gate_decisions set_authority(const gate_authority& authority, monotonic_time now);
    /// The description gives the server another number of slots.
    [[nodiscard]] gate_decisions set_slots(std::uint32_t slots, monotonic_time now);
    /// An answer named the server's incarnation; a new one starts the cold cap anew,
    /// at half of the slots when none was known before.
    void note_incarnation(std::uint64_t seen, monotonic_time now);
    /// Gives up what waited beyond its deadline or beyond the authority; ends pauses.
    [[nodiscard]] gate_decisions on_tick(monotonic_time now);
    /// When on_tick() has something to do, if anything waits.
    [[nodiscard]] std::optional<monotonic_time> next_tick() const;

    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    /// How many may run at once at this moment, here and through earlier coordinators together.
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool is_cold() const;
    /// Smoothed latency of recent answers; zero before the first.
    [[nodiscard]] nanoseconds recent_latency() const;
    [[nodiscard]] const gate_authority& authority() const;

private:
    [[nodiscard]] bool has_authority(monotonic_time now) const;
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] bool may_start(monotonic_time now) const;
    [[nodiscard]] milliseconds expected_wait(std::size_t ahead) const;
    /// Whether the expected wait is too long to be worth it.
    [[nodiscard]] bool wait_too_long(const gate_request& request, monotonic_time now) const;
    /// Requests of a tenant that wait or have started.
    [[nodiscard]] std::size_t held_by(const tenant_id& tenant) const;
    [[nodiscard]] bool over_share(const gate_request& request) const;
    [[nodiscard]] std::optional<gate_request> displaced_by(const gate_request& request) const;
    void start(const gate_request& request, gate_decisions& out);
    void start_waiting(gate_decisions& out, monotonic_time now);
    void expire_waiting(gate_decisions& out, monotonic_time now);
    void enqueue(const gate_request& request, gate_decisions& out, monotonic_time now);
    void pause(monotonic_time now);
    [[nodiscard]] error_kind overload_kind(const gate_request& request,
                                           error_kind default_kind) const;
    [[nodiscard]] gate_refuse refusal(ticket id, error_kind kind);

    gate_settings settings;
    gate_authority current;
    std::uint64_t incarnation = 0; ///< the last one seen
    concurrency_limit limiter;
    fair_queue queue;
    std::map<ticket, tenant_id> started;
    std::map<tenant_id, std::uint32_t> started_by_tenant;
    std::uint32_t consecutive_refusals = 0;
    monotonic_time paused_until{};
    std::uint64_t random_state;
};

} // namespace figreach
