#include "figreach/peer_codec.h"

#include "peer.pb.h"
#include "property.h"

using namespace figreach;

namespace {

std::string any_text()
{
    return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

std::uint64_t any_number()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

template <class Item, class Make>
std::vector<Item> any_vector(Make make)
{
    std::vector<Item> out;
    const auto count = *rc::gen::inRange<std::size_t>(0, 4);
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(make());
    }
    return out;
}

partition_version any_version()
{
    return {.id = {.service = {any_text()}, .number = *rc::gen::arbitrary<std::uint32_t>()},
            .version = any_number()};
}

std::vector<backend_server_id> any_servers()
{
    return any_vector<backend_server_id>([] { return backend_server_id{any_text()}; });
}

host_state any_host()
{
    return {.host = {any_text()},
            .incarnation = any_number(),
            .state = *rc::gen::element(host_liveness::alive, host_liveness::suspect,
                                       host_liveness::leaving, host_liveness::dead),
            .failure_domain = {any_text()},
            .peer_address = any_text(),
            .forward_address = any_text(),
            .description_version = any_number()};
}

gossip any_gossip()
{
    const auto hint = [] {
        return coordinator_hint{.server = {any_text()}, .host = {any_text()}, .term = any_number()};
    };
    return {.hosts = any_vector<host_state>(any_host),
            .description_version = any_number(),
            .partitions = any_vector<partition_version>(any_version),
            .coordinators = any_vector<coordinator_hint>(hint)};
}

load_report any_load_report()
{
    constexpr int most_rate = 1000000;
    const auto slice = [] {
        return slice_load{.first = any_number(),
                          .requests_per_second =
                              static_cast<double>(*rc::gen::inRange(0, most_rate))};
    };
    return {.id = any_version().id,
            .server = {any_text()},
            .condition = *rc::gen::element(server_condition::serving, server_condition::cold,
                                           server_condition::lost),
            .incarnation = any_number(),
            .slices = any_vector<slice_load>(slice),
            .latency = std::chrono::microseconds{*rc::gen::inRange(0, most_rate)},
            .busy = *rc::gen::element(0.0, 0.25, 0.5, 1.0)};
}

released any_released()
{
    const auto slice = [] { return released_slice{.first = any_number(), .fence = any_number()}; };
    return {.known = any_version(),
            .server = {any_text()},
            .slices = any_vector<released_slice>(slice)};
}

peer_body any_body()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return probe{.sequence = any_number(),
                     .on_behalf_of = {any_text()},
                     .target = {any_text()},
                     .piggyback = any_gossip()};
    case 1:
        return probe_answer{.sequence = any_number(), .piggyback = any_gossip()};
    case 2:
        return confirm_request{
            .sequence = any_number(), .known = any_version(), .servers = any_servers()};
    case 3:
        return confirm_answer{.sequence = any_number(),
                              .known = any_version(),
                              .servers = any_servers(),
                              .recovering = *rc::gen::arbitrary<bool>()};
    case 4:
        return document_request{.above = any_version(), .description = *rc::gen::arbitrary<bool>()};
    case 5:
        return document_offer{.partition = *rc::gen::arbitrary<std::string>(),
                              .description = *rc::gen::arbitrary<std::string>()};
    case 6:
        return any_load_report();
    default:
        return any_released();
    }
}

peer_message any_message()
{
    return {.sender = {"h" + any_text()}, .incarnation = any_number(), .body = any_body()};
}

/// An encoded string field with number 1000, which no version defines.
const std::string unknown_field = "\xc2\x3e\x03new";

} // namespace

TEST_GROUP(peer_codec_test){};

TEST(peer_codec_test, reads_back_what_it_wrote)
{
    CHECK_PROPERTY("round trip", [] {
        const auto original = any_message();
        const auto decoded = decode_peer_message(encode(original));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == original);
    });
}

TEST(peer_codec_test, tolerates_unknown_fields)
{
    CHECK_PROPERTY("unknown field", [] {
        const auto original = any_message();
        const auto decoded = decode_peer_message(encode(original) + unknown_field);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == original);
    });
}

TEST(peer_codec_test, takes_unknown_states_as_the_worst)
{
    peer::v1::Envelope wire;
    wire.set_sender("h");
    wire.mutable_probe()->add_hosts()->set_state(99);
    const auto decoded = decode_peer_message(wire.SerializeAsString());
    CHECK_TRUE(decoded.has_value());
    const auto& piggyback = std::get<probe>(decoded->body).piggyback;
    CHECK_TRUE(piggyback.hosts.front().state == host_liveness::dead);
}

TEST(peer_codec_test, refuses_messages_without_sender_or_body)
{
    peer::v1::Envelope no_body;
    no_body.set_sender("h");
    CHECK_FALSE(decode_peer_message(no_body.SerializeAsString()).has_value());
    peer::v1::Envelope no_sender;
    no_sender.mutable_probe();
    CHECK_FALSE(decode_peer_message(no_sender.SerializeAsString()).has_value());
    CHECK_FALSE(decode_peer_message("").has_value());
    CHECK_FALSE(decode_peer_message("\xff\xff\xff").has_value());
}

TEST(peer_codec_test, survives_garbage)
{
    CHECK_PROPERTY("garbage",
                   [](const std::string& garbage) { (void)decode_peer_message(garbage); });
    CHECK_PROPERTY("damaged", [] {
        auto bytes = encode(any_message());
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
        (void)decode_peer_message(bytes);
    });
}
