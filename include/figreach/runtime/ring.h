#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace figreach {

/// Bounded lock-free ring buffer for one producer thread and one consumer thread. Pushing to a full
/// ring fails, and the failures are counted.
template <class Item>
class ring {
public:
    /// `wake` is called on the producer thread after each successful push and must be safe there.
    ring(std::size_t capacity, std::function<void()> wake)
        : queue{capacity}, wake_consumer{std::move(wake)}
    {
    }

    /// Called by the producer only. Returns false if the ring is full; the item is then dropped and
    /// counted.
    bool push(Item item)
    {
        if (!this->queue.push(std::move(item))) {
            this->refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        this->wake_consumer();
        return true;
    }

    /// Called by the consumer only. Empty if there is no item.
    std::optional<Item> pop()
    {
        Item item;
        if (!this->queue.pop(item)) {
            return std::nullopt;
        }
        return item;
    }

    /// Number of items dropped because the ring was full.
    [[nodiscard]] std::uint64_t refusals() const
    {
        return this->refused.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<Item> queue;
    std::function<void()> wake_consumer;
    std::atomic<std::uint64_t> refused{0};
};

} // namespace figreach
