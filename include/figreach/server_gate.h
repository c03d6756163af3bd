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

/// The request may be sent now. It holds a slot until finish() is called.
struct gate_start {
    ticket id = 0;
};

/// The request is queued; a later call returns its gate_start or gate_refuse.
struct gate_wait {
    ticket id = 0;
};

/// The request is rejected. No further decision follows.
struct gate_refuse {
    ticket id = 0;
    error_kind kind = error_kind::overloaded;
    milliseconds retry_after{0};
};

using gate_decision = std::variant<gate_start, gate_wait, gate_refuse>;
using gate_decisions = std::vector<gate_decision>;

/// How a started request ended, as seen by the sender.
enum class gate_ending : std::uint8_t {
    answered,  ///< the server answered
    refused,   ///< the server shed the request
    failed,    ///< the connection was lost; the server may have restarted cold
    late,      ///< the deadline passed before the answer
    cancelled, ///< the caller disconnected
    not_sent,  ///< nothing was sent, or the server rejected a stale fence
};

struct gate_settings {
    std::uint32_t slots = 4;
    std::uint32_t max_queue_length = 64;
    milliseconds max_wait{500};    ///< a request that is expected to wait longer is refused
    milliseconds retry_after{200}; ///< lower bound of Retry-After, before jitter
    milliseconds max_retry_after{10000};
    milliseconds initial_pause{50}; ///< first back-off bound after the server shed a request
    milliseconds max_pause{2000};
    std::uint64_t seed = 1; ///< seed of the jitter
};

/// The coordinator's authority over the server and the reported state of the server.
struct gate_authority {
    monotonic_time until{};                ///< no request starts at or after this time
    std::uint32_t in_flight_elsewhere = 0; ///< slots held by requests of earlier coordinators
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool takes_new_work = true;
};

/// Admission control for one backend server: slots, adaptive limit, cold cap, fair queue and load
/// shedding. Each server has one gate, at its coordinator. Every request that arrives gets exactly
/// one gate_start or gate_refuse, unless leave() removes it. Not thread-safe.
class server_gate {
public:
    explicit server_gate(gate_settings settings);

    /// Decides on a new request. The result may also refuse a waiting request that it displaces.
    [[nodiscard]] gate_decisions arrive(const gate_request& request, monotonic_time now);
    /// Frees the slot of a started request. Unknown tickets are ignored.
    [[nodiscard]] gate_decisions finish(ticket id, gate_ending ending, nanoseconds latency,
                                        monotonic_time now);
    /// Removes a waiting request whose caller disconnected. Unknown tickets are ignored.
    void leave(ticket id);
    [[nodiscard]] gate_decisions set_authority(const gate_authority& authority, monotonic_time now);
    /// Changes the number of slots of the server.
    [[nodiscard]] gate_decisions set_slots(std::uint32_t slots, monotonic_time now);
    /// Records the incarnation reported by the server. A new incarnation resets the cold cap to
    /// one, or to half of the slots if no incarnation was known before.
    void note_incarnation(std::uint64_t seen, monotonic_time now);
    /// Refuses requests that waited past their deadline or past the end of the authority, and
    /// starts waiting requests whose pause has ended.
    [[nodiscard]] gate_decisions on_tick(monotonic_time now);
    /// The time of the next required on_tick() call. Empty if no request waits.
    [[nodiscard]] std::optional<monotonic_time> next_tick() const;

    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    /// The current concurrency limit, including requests of earlier coordinators.
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool is_cold() const;
    /// Exponential moving average of recent latencies; zero before the first answer.
    [[nodiscard]] nanoseconds recent_latency() const;
    [[nodiscard]] const gate_authority& authority() const;

private:
    [[nodiscard]] bool has_authority(monotonic_time now) const;
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] bool may_start(monotonic_time now) const;
    [[nodiscard]] milliseconds expected_wait(std::size_t ahead) const;
    /// Whether the request would miss its deadline or exceed the maximum wait.
    [[nodiscard]] bool wait_too_long(const gate_request& request, monotonic_time now) const;
    /// Number of waiting and running requests of a tenant.
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
    std::uint64_t incarnation = 0; ///< last known incarnation; 0: none
    concurrency_limit limiter;
    fair_queue queue;
    std::map<ticket, tenant_id> started;
    std::map<tenant_id, std::uint32_t> started_by_tenant;
    std::uint32_t consecutive_refusals = 0;
    monotonic_time paused_until{};
    std::uint64_t random_state;
};

} // namespace figreach
