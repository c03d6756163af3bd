#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "figreach/control.h"
#include "figreach/runtime/ring.h"

namespace figreach {

/// A thread that sends grants to backend servers over HTTP and reports their answers.
class grant_client {
public:
    /// Answers are pushed to `inbox`, which must outlive the client.
    explicit grant_client(ring<control_event>& inbox);
    ~grant_client();
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;

    /// Called by the control thread only. Returns false if the queue is full.
    bool call(call_server what);

    /// Number of grants with a valid answer, and of grants without one.
    [[nodiscard]] std::uint64_t answered() const;
    [[nodiscard]] std::uint64_t unanswered() const;

private:
    class connections;

    std::unique_ptr<connections> state;
    std::thread thread;
};

} // namespace figreach
