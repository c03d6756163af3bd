#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "figreach/control.h"
#include "figreach/runtime/peer_security.h"
#include "figreach/runtime/ring.h"

namespace figreach {

/// The thread that carries messages between entry hosts over ZeroMQ. Messages may be lost.
class peer_link {
public:
    /// Listens at `address` (IP number and port). `inbox` outlives the link. Throws zmq::error_t
    /// when it cannot listen, std::invalid_argument when the security does not fit the address.
    peer_link(std::string address, host_id self, std::uint64_t incarnation,
              ring<control_event>& inbox, const peer_security& security = {});
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Called by the control thread only.
    bool send(send_to_host message);

    /// Messages received that could not be read.
    [[nodiscard]] std::uint64_t malformed() const;
    /// Messages given up since too many waited here.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    class sockets;

    void run();
    void receive(const std::string& bytes);

    std::string address;
    host_id self;
    std::uint64_t incarnation;
    ring<control_event>& inbox;
    ring<send_to_host> outbox;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> malformed_messages{0};
    std::unique_ptr<sockets> link;
    std::thread thread;
};

} // namespace figreach
