#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

#include "figreach/error_kind.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// Names one request at one gate; the caller of the gate chooses it, never twice.
using ticket = std::uint64_t;

struct gate_request {
    ticket id = 0;
    tenant_id tenant;
    class_id request_class;
    std::uint32_t shed_order = 0;
    std::uint32_t weight = 1;
    monotonic_time deadline{};
};

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
enum class gate_ending : std::uint8_t { answered, refused, failed, cancelled };

struct gate_settings {
    std::uint32_t slots = 4;
    std::uint32_t longest_queue = 64;
    milliseconds retry_after{200};
};

/// What the coordinator's control says of the server.
struct gate_authority {
    monotonic_time until{};                ///< nothing starts from this time on
    std::uint32_t in_flight_elsewhere = 0; ///< slots taken by requests of earlier coordinators
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool takes_new_work = true;
};

/// Admission to one backend server: slots, queue and shedding. One gate for each server, at its
/// coordinator. Not thread-safe.
class server_gate {
public:
    explicit server_gate(gate_settings settings);

    /// Decides about a new request, and about others that give way to it.
    [[nodiscard]] gate_decisions arrive(const gate_request& request, monotonic_time now);
    /// Frees the slot of a started request.
    [[nodiscard]] gate_decisions finish(ticket id, gate_ending ending, nanoseconds latency,
                                        monotonic_time now);
    /// Removes a waiting request whose caller left. Does nothing for another ticket.
    void leave(ticket id);
    [[nodiscard]] gate_decisions set_authority(const gate_authority& authority, monotonic_time now);
    /// Gives up what waited beyond its deadline or beyond the authority.
    [[nodiscard]] gate_decisions on_tick(monotonic_time now);

    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] const gate_authority& authority() const;

private:
    [[nodiscard]] bool has_authority(monotonic_time now) const;
    [[nodiscard]] std::uint32_t free_slots() const;
    void start_waiting(gate_decisions& out, monotonic_time now);
    void expire_waiting(gate_decisions& out, monotonic_time now);
    [[nodiscard]] gate_refuse refusal(ticket id, error_kind kind) const;

    gate_settings settings;
    gate_authority present;
    std::uint32_t started = 0;
    std::deque<gate_request> queue;
};

} // namespace figreach
