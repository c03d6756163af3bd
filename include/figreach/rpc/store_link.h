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

/// A thread that executes calls to the platform's store sequentially.
class store_link {
public:
    /// Results are pushed to `inbox`, which must outlive the link.
    store_link(const std::string& address, milliseconds timeout, ring<control_event>& inbox);
    ~store_link();
    store_link(const store_link&) = delete;
    store_link& operator=(const store_link&) = delete;

    /// Called by the control thread only. Returns false if the queue is full.
    bool call(call_store what);

    /// Number of calls that were answered, and of calls that failed or timed out.
    [[nodiscard]] std::uint64_t answered() const;
    [[nodiscard]] std::uint64_t unanswered() const;
    /// Number of compare-and-swap calls whose condition did not hold.
    [[nodiscard]] std::uint64_t conflicts() const;
    /// Number of calls dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;
    /// Whether the last call was answered.
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
