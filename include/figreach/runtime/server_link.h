#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>

#include "figreach/server_gate.h"

namespace figreach {

/// The gate of one backend server, shared by the request threads of its coordinator.
class server_link : public std::enable_shared_from_this<server_link> {
public:
    explicit server_link(gate_settings settings);

    /// Waits until the request may be sent or is given up: gate_start or gate_refuse.
    boost::asio::awaitable<gate_decision> admit(gate_request request);
    /// Frees the slot of an admitted request.
    void finish(ticket id, gate_ending ending, nanoseconds latency);
    void set_authority(const gate_authority& authority);
    /// Whether a request may be sent at this very moment.
    [[nodiscard]] bool has_authority() const;
    /// A ticket that this link has not given out before.
    [[nodiscard]] ticket next_ticket();

private:
    struct waiter;

    void deliver(const gate_decisions& decisions);

    mutable std::mutex guard;
    server_gate gate;
    ticket last_ticket = 0;
    std::unordered_map<ticket, std::shared_ptr<waiter>> waiters;
};

} // namespace figreach
