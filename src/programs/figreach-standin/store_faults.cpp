#include "store_faults.h"

#include <exception>

#include <boost/json.hpp>

namespace figreach::standin {

bool store_faults::apply(const std::string& text)
{
    try {
        const auto value = boost::json::parse(text);
        const auto& in = value.as_object();
        const auto* down_field = in.if_contains("down");
        const auto* delay_field = in.if_contains("slow_ms");
        const auto* lose_field = in.if_contains("lose_answers");
        const auto* expire_field = in.if_contains("lapse_leases");
        const bool next_down = down_field != nullptr ? down_field->as_bool() : this->is_down.load();
        const auto next_delay =
            delay_field != nullptr ? delay_field->to_number<std::int64_t>() : this->delay_ms.load();
        const auto next_lose = lose_field != nullptr ? lose_field->to_number<std::int64_t>()
                                                     : this->answers_to_lose.load();
        const bool next_expire = expire_field != nullptr && expire_field->as_bool();
        this->is_down = next_down;
        this->delay_ms = next_delay;
        this->answers_to_lose = next_lose;
        this->expire_leases = this->expire_leases || next_expire;
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

bool store_faults::consume_lost_answer()
{
    auto left = this->answers_to_lose.load();
    while (left > 0 && !this->answers_to_lose.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
}

bool store_faults::consume_lease_expiry()
{
    return this->expire_leases.exchange(false);
}

} // namespace figreach::standin
