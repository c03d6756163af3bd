#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

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

/// Waiting requests in weighted fair order: over tenants by their weight, within a tenant over
/// classes by their shed order, within a class by arrival. Not thread-safe.
class fair_queue {
public:
    void push(const gate_request& request);
    /// The request whose turn it is. Requires that the queue is not empty.
    gate_request pop();
    /// False when the ticket does not wait.
    bool remove(ticket id);
    /// Removes and returns those for which `chosen` holds.
    std::vector<gate_request> remove_if(const std::function<bool(const gate_request&)>& chosen);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size_of(const tenant_id& tenant) const;
    /// The request to shed first: highest shed order, then the tenant that waits most for its
    /// weight, then the newest. Empty when the queue is.
    [[nodiscard]] std::optional<gate_request> first_to_shed() const;
    /// The earliest deadline of those that wait.
    [[nodiscard]] std::optional<monotonic_time> next_deadline() const;
    /// Sum of the weights of the tenants that wait.
    [[nodiscard]] std::uint64_t waiting_weight() const;

private:
    struct class_flow {
        double next_start = 0.0; ///< virtual time of the next start
        std::deque<gate_request> waiting;

        [[nodiscard]] bool empty() const { return this->waiting.empty(); }
    };

    struct tenant_flow {
        double next_start = 0.0;
        double virtual_time = 0.0;
        std::uint32_t weight = 1;
        std::size_t size = 0;
        std::map<std::uint32_t, class_flow> classes; ///< by shed order

        [[nodiscard]] bool empty() const { return this->size == 0; }
        /// The class with the highest shed order that waits. Requires that one does.
        [[nodiscard]] const class_flow& last_class() const;
    };

    void erase_idle();

    std::map<tenant_id, tenant_flow> tenants;
    double virtual_time = 0.0;
    std::size_t total = 0;
};

} // namespace figreach
