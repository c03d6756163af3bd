#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace figreach {

/// Bounded ring from one thread to one other. A full ring refuses; the refusals are counted.
template <class Item>
class ring {
public:
    /// `wake` is called by the producer after each push; it must be safe to call from its thread.
    ring(std::size_t capacity, std::function<void()> wake)
        : queue{capacity}, wake_consumer{std::move(wake)}
    {
    }

    /// Producer's side. False when the ring is full: the item is dropped and counted.
    bool push(Item item)
    {
        if (!this->queue.push(std::move(item))) {
            this->refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        this->wake_consumer();
        return true;
    }

    /// Consumer's side.
    std::optional<Item> pop()
    {
        Item item;
        if (!this->queue.pop(item)) {
            return std::nullopt;
        }
        return item;
    }

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
