#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "figreach/control.h"
#include "figreach/rpc/etcd_client.h"
#include "figreach/runtime/doorbell.h"
#include "figreach/runtime/ring.h"

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

private:
    void run();

    etcd_client client;
    milliseconds timeout;
    ring<control_event>& inbox;
    doorbell bell;
    ring<call_store> outbox;
    std::atomic<bool> stopping{false};
    std::thread duty;
};

} // namespace figreach
