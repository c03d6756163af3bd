#include "figreach/operator_token.h"

namespace figreach {

namespace {

constexpr std::string_view scheme = "Bearer ";

bool equal_in_constant_time(std::string_view given, std::string_view expected)
{
    unsigned difference = given.size() == expected.size() ? 0U : 1U;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const auto other = expected[i % expected.size()];
        difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0U;
}

} // namespace

bool has_bearer_token(std::string_view authorization, std::string_view expected)
{
    if (expected.empty() || !authorization.starts_with(scheme)) {
        return false;
    }
    return equal_in_constant_time(authorization.substr(scheme.size()), expected);
}

} // namespace figreach
