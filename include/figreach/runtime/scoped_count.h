#pragma once

namespace figreach {

/// Adds an amount to a counter and subtracts it again on destruction. The counter must outlive this
/// object.
template <class Counter, class Amount = unsigned>
class scoped_count {
public:
    explicit scoped_count(Counter& counter_, Amount amount_ = 1)
        : counter{counter_}, amount{amount_}
    {
        this->counter += this->amount;
    }
    ~scoped_count() { this->counter -= this->amount; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    Counter& counter;
    Amount amount;
};

} // namespace figreach
