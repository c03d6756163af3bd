#include "figreach/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figreach {

namespace {

constexpr std::uint32_t most_halvings = 4;

/// Turns that a class costs its tenant: each step of shed order doubles them.
double cost_of_class(std::uint32_t shed_order)
{
    return static_cast<double>(1U << std::min(shed_order, most_halvings));
}

/// The flow with the earliest turn among those that wait. Requires that one waits.
template <class Flows>
auto earliest(Flows& flows)
{
    auto out = flows.end();
    for (auto one = flows.begin(); one != flows.end(); ++one) {
        const bool earlier = out == flows.end() || one->second.turn < out->second.turn;
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
        flow.turn = std::max(flow.turn, this->time);
    }
    flow.weight = std::max(request.weight, 1U);
    auto& of_class = flow.classes[request.shed_order];
    if (of_class.empty()) {
        of_class.turn = std::max(of_class.turn, flow.class_time);
    }
    of_class.waiting.push_back(request);
    ++flow.size;
    ++this->total;
}

gate_request fair_queue::pop()
{
    const auto found = earliest(this->tenants);
    auto& flow = found->second;
    const auto found_class = earliest(flow.classes);
    auto& of_class = found_class->second;
    auto out = std::move(of_class.waiting.front());
    of_class.waiting.pop_front();
    this->time = flow.turn;
    flow.turn += 1.0 / static_cast<double>(flow.weight);
    flow.class_time = of_class.turn;
    of_class.turn += cost_of_class(found_class->first);
    --flow.size;
    --this->total;
    this->forget_idle();
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
        for (auto& [order, of_class] : flow.classes) {
            auto& waiting = of_class.waiting;
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
    this->forget_idle();
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
    const gate_request* worst = nullptr;
    double worst_share = 0.0;
    for (const auto& [name, flow] : this->tenants) {
        if (flow.empty()) {
            continue;
        }
        const auto share = static_cast<double>(flow.size) / static_cast<double>(flow.weight);
        const auto& candidate = flow.last_class().waiting.back();
        const bool worse = worst == nullptr || candidate.shed_order > worst->shed_order ||
                           (candidate.shed_order == worst->shed_order && share > worst_share);
        if (worse) {
            worst = &candidate;
            worst_share = share;
        }
    }
    return worst == nullptr ? std::nullopt : std::optional{*worst};
}

std::optional<monotonic_time> fair_queue::next_deadline() const
{
    std::optional<monotonic_time> out;
    for (const auto& [name, flow] : this->tenants) {
        for (const auto& [order, of_class] : flow.classes) {
            for (const auto& one : of_class.waiting) {
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

void fair_queue::forget_idle()
{
    // A flow that is ahead of the others keeps its turn, else it could jump the queue by
    // emptying its own.
    std::erase_if(this->tenants, [this](const auto& entry) {
        return entry.second.empty() && entry.second.turn <= this->time;
    });
}

} // namespace figreach
