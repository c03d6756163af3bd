#include "store_codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "../property.h"
#include "items.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::platform;

namespace json = boost::json;

namespace {

constexpr store_era era{2};

constexpr auto item =
    R"({"key":"my/leader","value":"bm9kZS0x","revision":412,"created_at":412,"lease_id":77120})";

struct malformed_row {
    const char* body;
};

const malformed_row malformed_items[] = {
    {""},
    {"[]"},
    {R"({"value":"bm9kZS0x","revision":412})"},
    {R"({"key":"k","value":"bm9kZS0","revision":412})"},
    {R"({"key":"k","value":"****","revision":412})"},
    {R"({"key":"k","value":"bm9kZS0x","revision":-1})"},
    {R"({"key":"k","value":"bm9kZS0x","revision":"1"})"},
};

} // namespace

struct era_row {
    const char* name = "";
    const char* field = nullptr; ///< null if absent
    std::optional<store_era> era;
};

const era_row era_rows[] = {
    {"a number", "3", store_era{3}},
    {"the first one", "0", store_era{0}},
    {"absent", nullptr, std::nullopt},
    {"empty", "", std::nullopt},
    {"negative", "-1", std::nullopt},
    {"a fraction", "1.5", std::nullopt},
    {"text after it", "3a", std::nullopt},
    {"larger than any", "1000001", std::nullopt},
    {"too many digits", "99999999999999999999", std::nullopt},
};

TEST_GROUP(store_codec_test){};

TEST(store_codec_test, reads_the_era_of_the_store)
{
    for (const auto& row : era_rows) {
        boost::beast::http::fields fields;
        if (row.field != nullptr) {
            fields.set("Store-Era", row.field);
        }
        CHECK_TRUE_TEXT(decode_store_era(fields) == row.era, row.name);
    }
}

TEST(store_codec_test, reads_items)
{
    const auto read = decode_item(item, era);
    STRCMP_EQUAL("my/leader", read->key.c_str());
    STRCMP_EQUAL("node-1", read->value.c_str());
    CHECK_TRUE(read->revision == (store_revision{era, 412}));
    for (const auto& row : malformed_items) {
        CHECK_FALSE_TEXT(decode_item(row.body, era).has_value(), row.body);
    }
}

TEST(store_codec_test, reads_pages_and_changes)
{
    const auto page = decode_item_page(
        std::string{R"({"items":[)"} + item + R"(],"has_more":true,"as_of":530})", era);
    CHECK_EQUAL(1, page->part.items.size());
    CHECK_TRUE(page->more);
    CHECK_TRUE(page->part.revision == (store_revision{era, 530}));
    CHECK_FALSE(decode_item_page(R"({"items":[{}],"as_of":530})", era).has_value());
    CHECK_FALSE(decode_item_page(R"({"items":{},"as_of":530})", era).has_value());
    CHECK_FALSE(decode_item_page(R"({"items":[]})", era).has_value());
    const auto changes =
        decode_changes(std::string{R"({"events":[)"} + item +
                           R"(,{"key":"my/old","revision":413,"removed":true}],"as_of":413})",
                       era);
    CHECK_EQUAL(2, changes->changes.size());
    CHECK_FALSE(changes->changes[0].removed);
    CHECK_TRUE(changes->changes[1].removed);
    CHECK_TRUE(changes->revision == (store_revision{era, 413}));
    CHECK_FALSE(decode_changes(R"({"events":[{"key":"k"}],"as_of":1})", era).has_value());
}

TEST(store_codec_test, writes_transactions)
{
    const store_transaction what{
        .conditions = {{.key = "a", .revision = {era, 0}}},
        .writes = {{.key = "a", .value = "node-1", .lease = {.era = era, .id = 77}}},
        .removals = {"b"}};
    const auto expected = json::parse(
        R"({"precondition":[{"key":"a","revision":0}],
            "writes":[{"key":"a","value":"bm9kZS0x","lease_id":77}],"delete":["b"]})");
    CHECK_TRUE(json::parse(encode_transaction(what)) == expected);
}

TEST(store_codec_test, values_survive_the_way_there_and_back)
{
    CHECK_PROPERTY("any bytes", [](const std::string& value) {
        const store_transaction what{
            .conditions = {}, .writes = {{.key = "k", .value = value}}, .removals = {}};
        const auto written = json::parse(encode_transaction(what)).at("writes").at(0);
        auto read = written.as_object();
        read["revision"] = 1;
        RC_ASSERT(decode_item(json::serialize(read), era)->value == value);
    });
}

TEST(store_codec_test, survives_any_bytes)
{
    CHECK_PROPERTY("no crash", [](const std::string& bytes) {
        (void)decode_item(bytes, era);
        (void)decode_item_page(bytes, era);
        (void)decode_changes(bytes, era);
        (void)decode_new_revision(bytes, era);
        (void)decode_lease_id(bytes);
    });
}

TEST(store_codec_test, encodes_queries)
{
    STRCMP_EQUAL("servers/i-7_a.b~", percent_encode("servers/i-7_a.b~").c_str());
    STRCMP_EQUAL("a%20%26%3D%25%C3%BC", percent_encode("a &=%\xc3\xbc").c_str());
}

TEST(store_codec_test, finds_the_meaning_of_items)
{
    const auto interpret = [](const char* key, const char* value, bool removed) {
        return interpret_item(
            {.item = {.key = key, .value = value, .revision = {era, 1}}, .removed = removed});
    };
    CHECK_TRUE(std::get<domain_update>(interpret("op/evacuate/kl-a", "{}", false)).out);
    CHECK_FALSE(std::get<domain_update>(interpret("op/evacuate/kl-a", "", true)).out);
    CHECK_TRUE(std::get<server_removal>(interpret("servers/i-7", "", true)).id.value == "i-7");
    CHECK_TRUE(std::holds_alternative<unreadable_item>(interpret("servers/i-7", "x", false)));
    CHECK_TRUE(std::holds_alternative<unreadable_item>(interpret("op/config", "x", false)));
    CHECK_TRUE(std::holds_alternative<ignored_item>(interpret("op/config", "", true)));
    CHECK_TRUE(std::holds_alternative<ignored_item>(interpret("op/evacuate/", "", false)));
    CHECK_TRUE(std::holds_alternative<ignored_item>(interpret("else", "", false)));
    CHECK_TRUE(std::holds_alternative<leader_update>(interpret("figreach/leader", "h", false)));
}
