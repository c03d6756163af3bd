#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "figreach/control.h"
#include "figreach/runtime/ring.h"

namespace figreach {

/// The thread that sends grants to backend servers over HTTP and returns their answers.
class grant_client {
public:
    /// `inbox` outlives the caller.
    explicit grant_client(ring<control_event>& inbox);
    ~grant_client();
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;

    /// Called by the control thread only.
    bool call(call_server what);

    /// Grants that got an answer, and grants that got none in time.
    [[nodiscard]] std::uint64_t answered() const;
    [[nodiscard]] std::uint64_t unanswered() const;

private:
    class connections;

    std::unique_ptr<connections> state;
    std::thread thread;
};

} // namespace figreach
