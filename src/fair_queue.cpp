#include "figreach/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figreach {

namespace {

constexpr std::uint32_t max_cost_doublings = 4;

/// Virtual time that one start costs a class. It doubles with each step of the shed order, up to
/// the maximum.
double class_cost(std::uint32_t shed_order)
{
    return static_cast<double>(1U << std::min(shed_order, max_cost_doublings));
}

/// The non-empty flow with the earliest virtual start. Requires that one exists.
template <class Flows>
auto earliest(Flows& flows)
{
    auto out = flows.end();
    for (auto one = flows.begin(); one != flows.end(); ++one) {
        const bool earlier = out == flows.end() || one->second.next_start < out->second.next_start;
        if (!one->second.empty() && earlier) {
            out = one;
        }
    }
    return out;
}

} // namespace

void fair_queue::push(const gate_request& request)
{
    auto& flow = this->tenants[request.tenant];
    if (flow.empty()) {
        flow.next_start = std::max(flow.next_start, this->virtual_time);
    }
    flow.weight = std::max(request.weight, 1U);
    auto& class_queue = flow.classes[request.shed_order];
    if (class_queue.empty()) {
        class_queue.next_start = std::max(class_queue.next_start, flow.virtual_time);
    }
    class_queue.waiting.push_back(request);
    ++flow.size;
    ++this->total;
}

gate_request fair_queue::pop()
{
    const auto found = earliest(this->tenants);
    auto& flow = found->second;
    const auto next_class = earliest(flow.classes);
    auto& class_queue = next_class->second;
    auto out = std::move(class_queue.waiting.front());
    class_queue.waiting.pop_front();
    this->virtual_time = flow.next_start;
    flow.next_start += 1.0 / static_cast<double>(flow.weight);
    flow.virtual_time = class_queue.next_start;
    class_queue.next_start += class_cost(next_class->first);
    --flow.size;
    --this->total;
    this->erase_idle();
    return out;
}

bool fair_queue::remove(ticket id)
{
    return !this->remove_if([id](const gate_request& one) { return one.id == id; }).empty();
}

std::vector<gate_request>
fair_queue::remove_if(const std::function<bool(const gate_request&)>& chosen)
{
    std::vector<gate_request> out;
    for (auto& [name, flow] : this->tenants) {
        for (auto& [order, class_queue] : flow.classes) {
            auto& waiting = class_queue.waiting;
            const auto kept =
                std::stable_partition(waiting.begin(), waiting.end(),
                                      [&chosen](const gate_request& one) { return !chosen(one); });
            const auto removed = static_cast<std::size_t>(std::distance(kept, waiting.end()));
            out.insert(out.end(), kept, waiting.end());
            waiting.erase(kept, waiting.end());
            flow.size -= removed;
            this->total -= removed;
        }
    }
    this->erase_idle();
    return out;
}

std::size_t fair_queue::size() const
{
    return this->total;
}

std::size_t fair_queue::size_of(const tenant_id& tenant) const
{
    const auto found = this->tenants.find(tenant);
    return found == this->tenants.end() ? 0 : found->second.size;
}

std::optional<gate_request> fair_queue::first_to_shed() const
{
    const gate_request* victim = nullptr;
    double victim_share = 0.0;
    for (const auto& [name, flow] : this->tenants) {
        if (flow.empty()) {
            continue;
        }
        const auto share = static_cast<double>(flow.size) / static_cast<double>(flow.weight);
        const auto& candidate = flow.last_class().waiting.back();
        const bool sheds_earlier =
            victim == nullptr || candidate.shed_order > victim->shed_order ||
            (candidate.shed_order == victim->shed_order && share > victim_share);
        if (sheds_earlier) {
            victim = &candidate;
            victim_share = share;
        }
    }
    return victim == nullptr ? std::nullopt : std::optional{*victim};
}

std::optional<monotonic_time> fair_queue::next_deadline() const
{
    std::optional<monotonic_time> out;
    for (const auto& [name, flow] : this->tenants) {
        for (const auto& [order, class_queue] : flow.classes) {
            for (const auto& one : class_queue.waiting) {
                out = out ? std::min(*out, one.deadline) : one.deadline;
            }
        }
    }
    return out;
}

std::uint64_t fair_queue::waiting_weight() const
{
    std::uint64_t out = 0;
    for (const auto& [name, flow] : this->tenants) {
        out += flow.empty() ? 0 : flow.weight;
    }
    return out;
}

const fair_queue::class_flow& fair_queue::tenant_flow::last_class() const
{
    auto one = this->classes.rbegin();
    while (one->second.empty()) {
        ++one;
    }
    return one->second;
}

void fair_queue::erase_idle()
{
    // A flow whose next start lies in the virtual future is kept. Otherwise a tenant could gain
    // more than its share by emptying its queue and joining again.
    std::erase_if(this->tenants, [this](const auto& entry) {
        return entry.second.empty() && entry.second.next_start <= this->virtual_time;
    });
}

} // namespace figreach
