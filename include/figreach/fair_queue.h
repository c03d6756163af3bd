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

/// Identifies one request at one gate. Chosen by the caller of the gate and never reused.
using ticket = std::uint64_t;

struct gate_request {
    ticket id = 0;
    tenant_id tenant;
    class_id request_class;
    std::uint32_t shed_order = 0;
    std::uint32_t weight = 1;
    monotonic_time deadline{};
};

/// Queue of waiting requests with weighted fair queueing: between tenants by weight, between the
/// classes of a tenant by shed order, and first come, first served within a class. Not thread-safe.
class fair_queue {
public:
    void push(const gate_request& request);
    /// Removes and returns the next request. Requires that the queue is not empty.
    gate_request pop();
    /// Returns false if no waiting request has this ticket.
    bool remove(ticket id);
    /// Removes and returns all requests for which `chosen` returns true.
    std::vector<gate_request> remove_if(const std::function<bool(const gate_request&)>& chosen);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size_of(const tenant_id& tenant) const;
    /// The request to shed first: from the highest shed order, then from the tenant with the most
    /// waiting requests per weight, then the newest. Empty if the queue is empty.
    [[nodiscard]] std::optional<gate_request> first_to_shed() const;
    /// The earliest deadline of all waiting requests.
    [[nodiscard]] std::optional<monotonic_time> next_deadline() const;
    /// Sum of the weights of all tenants with waiting requests.
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
        /// The non-empty class with the highest shed order. Requires that one exists.
        [[nodiscard]] const class_flow& last_class() const;
    };

    void erase_idle();

    std::map<tenant_id, tenant_flow> tenants;
    double virtual_time = 0.0;
    std::size_t total = 0;
};

} // namespace figreach
