#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "figreach/control.h"
#include "figreach/runtime/ring.h"

namespace figreach {

/// The thread that carries messages between entry hosts over ZeroMQ. Messages may be lost.
class peer_link {
public:
    /// Listens at `address` (IP number and port). `inbox` outlives the link.
    peer_link(std::string address, host_id self, std::uint64_t incarnation,
              ring<control_event>& inbox);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Called by the control thread only.
    bool send(send_to_host message);

    [[nodiscard]] std::uint64_t malformed() const;

private:
    class sockets;

    void run();

    std::string address;
    host_id self;
    std::uint64_t incarnation;
    ring<control_event>& inbox;
    ring<send_to_host> outbox;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> malformed_messages{0};
    std::unique_ptr<sockets> link;
    std::thread duty;
};

} // namespace figreach
