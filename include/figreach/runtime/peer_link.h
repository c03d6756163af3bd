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

/// A thread that exchanges messages with other entry hosts over ZeroMQ. Messages may be lost.
class peer_link {
public:
    /// Listens on `address` (IP address and port). Received messages are pushed to `inbox`, which
    /// must outlive the link. Throws zmq::error_t if listening fails, std::invalid_argument if
    /// the security settings do not permit the address.
    peer_link(std::string address, host_id self, std::uint64_t incarnation,
              ring<control_event>& inbox, const peer_security& security = {});
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Called by the control thread only. Returns false if the queue is full.
    bool send(send_to_host message);

    /// Number of received messages that could not be decoded.
    [[nodiscard]] std::uint64_t malformed() const;
    /// Number of messages dropped because the queue was full.
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
