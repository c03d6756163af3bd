#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "figreach/control.h"
#include "figreach/rpc/etcd_client.h"
#include "figreach/runtime/ring.h"
#include "figreach/runtime/wake_signal.h"

namespace figreach {

/// The thread that carries out calls to the platform's store, one after another.
class store_link {
public:
    /// `inbox` outlives the link.
    store_link(const std::string& address, milliseconds timeout, ring<control_event>& inbox);
    ~store_link();
    store_link(const store_link&) = delete;
    store_link& operator=(const store_link&) = delete;

    /// Called by the control thread only. False when too many calls wait.
    bool call(call_store what);

    /// Calls that got an answer, and calls that got none in time.
    [[nodiscard]] std::uint64_t answered() const;
    [[nodiscard]] std::uint64_t unanswered() const;
    /// Compare-and-swaps whose condition did not hold.
    [[nodiscard]] std::uint64_t conflicts() const;
    /// Calls given up since too many waited here.
    [[nodiscard]] std::uint64_t dropped() const;
    /// Whether the last call got an answer.
    [[nodiscard]] bool reachable() const;

private:
    void run();
    void execute(const call_store& what);
    void count(const store_result& result);

    etcd_client client;
    milliseconds timeout;
    ring<control_event>& inbox;
    wake_signal wakeup;
    ring<call_store> outbox;
    std::atomic<std::uint64_t> answered_calls{0};
    std::atomic<std::uint64_t> unanswered_calls{0};
    std::atomic<std::uint64_t> conflicting_calls{0};
    std::atomic<bool> is_reachable{true};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace figreach
