#include "store_faults.h"

#include <exception>

#include <boost/json.hpp>

namespace figreach::standin {

bool store_faults::order(const std::string& text)
{
    try {
        const auto value = boost::json::parse(text);
        const auto& in = value.as_object();
        const auto* gone = in.if_contains("down");
        const auto* slow = in.if_contains("slow_ms");
        const auto* lose = in.if_contains("lose_answers");
        const auto* lapsed = in.if_contains("lapse_leases");
        const bool next_down = gone != nullptr ? gone->as_bool() : this->is_down.load();
        const auto next_delay =
            slow != nullptr ? slow->to_number<std::int64_t>() : this->delay_ms.load();
        const auto next_lose =
            lose != nullptr ? lose->to_number<std::int64_t>() : this->answers_to_lose.load();
        const bool next_lapse = lapsed != nullptr && lapsed->as_bool();
        this->is_down = next_down;
        this->delay_ms = next_delay;
        this->answers_to_lose = next_lose;
        this->lapse = this->lapse || next_lapse;
        return true;
    }
    catch (const std::exception&) {
        return false;
    }
}

bool store_faults::down() const
{
    return this->is_down;
}

milliseconds store_faults::delay() const
{
    return milliseconds{this->delay_ms};
}

bool store_faults::loses_answer()
{
    auto left = this->answers_to_lose.load();
    while (left > 0 && !this->answers_to_lose.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
}

bool store_faults::takes_lapse()
{
    return this->lapse.exchange(false);
}

} // namespace figreach::standin
