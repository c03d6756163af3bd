#include "figreach/direct/tenants/identification.h"

#include <optional>
#include <string>

#include "../property.h"
#include "figreach/direct/tenants/tenant_rule.h"
#include "figreach/direct/tenants/tenant_table.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

std::vector<tenant_rule> tenants()
{
    return {
        {.name = {"alpha"}, .keys = {digest_of_key("a1"), digest_of_key("shared")}},
        {.name = {"beta"}, .keys = {digest_of_key("b1"), digest_of_key("shared")}},
        {.name = {"odd"}, .keys = {digest_of_key("o1")}, .unreadable_field = "spec.rate_per_s"}};
}

struct identification_row {
    const char* name = "";
    std::optional<std::string> key;
    bool is_public = false;
    bool is_fresh = true;
    const char* expected = ""; ///< tenant or error; empty if the request needs no key
};

const identification_row rows[] = {
    {"valid key", "a1", false, true, "alpha"},
    {"another tenant's key", "b1", false, true, "beta"},
    {"no key", std::nullopt, false, true, "invalid_api_key"},
    {"unknown key", "a2", false, true, "invalid_api_key"},
    {"start of a key", "a", false, true, "invalid_api_key"},
    {"key of two tenants", "shared", false, true, "unreadable_route"},
    {"key of an entry that cannot be read", "o1", false, true, "unreadable_route"},
    {"public route", std::nullopt, true, true, ""},
    {"public route, with a key", "a1", true, true, ""},
    {"public route, configuration not confirmed", std::nullopt, true, false, ""},
    {"valid key, configuration not confirmed", "a1", false, false, "stale_configuration"},
    {"a key that may be new", "a2", false, false, "stale_configuration"},
    {"no key, configuration not confirmed", std::nullopt, false, false, "invalid_api_key"},
};

std::string text_of(const identification& found)
{
    if (const auto* identified = std::get_if<identified_tenant>(&found)) {
        return identified->tenant->name.value;
    }
    if (const auto* refused = std::get_if<identification_refused>(&found)) {
        return std::string{name_of(refused->kind)};
    }
    return {};
}

} // namespace

TEST_GROUP(identification_test){};

/// Guards against a request that runs for a tenant which does not hold its key, and against one
/// that is called unauthorized although its key may be valid.
TEST(identification_test, names_the_only_holder_of_the_key)
{
    const auto all = tenants();
    const tenant_table table{all};
    for (const auto& row : rows) {
        const auto key = row.key ? std::optional{digest_of_key(*row.key)} : std::nullopt;
        const auto found = identify(
            {.tenants = table, .is_public = row.is_public, .is_fresh = row.is_fresh, .key = key});
        STRCMP_EQUAL_TEXT(row.expected, text_of(found).c_str(), row.name);
    }
}

TEST(identification_test, a_configuration_without_tenants_asks_for_no_key)
{
    const std::vector<tenant_rule> none;
    const tenant_table table{none};
    const auto found =
        identify({.tenants = table, .is_public = false, .is_fresh = false, .key = std::nullopt});
    CHECK_TRUE(std::holds_alternative<no_tenant>(found));
}

/// A published vector of SHA-256 (FIPS 180-2, "abc").
TEST(identification_test, digests_are_sha_256)
{
    const auto digest = digest_of_key("abc");
    CHECK_EQUAL(0xba, digest.bytes.front());
    CHECK_EQUAL(0xad, digest.bytes.back());
}
