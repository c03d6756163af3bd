#include "figreach/rpc/etcd_client.h"

#include <grpcpp/grpcpp.h>

#include "etcd.grpc.pb.h"

namespace figreach {

namespace wire = etcdserverpb;

namespace {

constexpr unsigned char highest_byte = 0xff;

/// The exclusive upper bound of all keys with the prefix, as `range_end` in the etcd API; "\0"
/// means no upper bound.
std::string end_of_prefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == highest_byte) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

stored_value to_value(const wire::KeyValue& in)
{
    return {.key = in.key(), .value = in.value(), .revision = in.mod_revision()};
}

store_result to_result(const grpc::Status& status, const wire::RangeResponse& answer)
{
    if (!status.ok()) {
        return store_no_answer{status.error_message()};
    }
    store_read out;
    for (const auto& one : answer.kvs()) {
        out.values.push_back(to_value(one));
    }
    return out;
}

wire::TxnRequest to_transaction(const compare_and_swap& what)
{
    wire::TxnRequest request;
    auto* compare = request.add_compare();
    compare->set_key(what.key);
    compare->set_result(wire::Compare::EQUAL);
    compare->set_target(wire::Compare::MOD);
    compare->set_mod_revision(what.expected_revision);
    auto* put = request.add_success()->mutable_request_put();
    put->set_key(what.key);
    put->set_value(what.value);
    request.add_failure()->mutable_request_range()->set_key(what.key);
    return request;
}

store_result to_result(const grpc::Status& status, const wire::TxnResponse& answer)
{
    if (!status.ok()) {
        return store_no_answer{status.error_message()};
    }
    if (answer.succeeded()) {
        return store_written{answer.header().revision()};
    }
    store_conflict out;
    if (answer.responses_size() > 0 && answer.responses(0).response_range().kvs_size() > 0) {
        out.present = to_value(answer.responses(0).response_range().kvs(0));
    }
    return out;
}

} // namespace

class etcd_client::stubs {
public:
    explicit stubs(const std::string& address)
        : channel{grpc::CreateChannel(address, grpc::InsecureChannelCredentials())},
          values{wire::KV::NewStub(channel)}
    {
    }

    store_result call(const read_key& what, milliseconds timeout)
    {
        wire::RangeRequest request;
        request.set_key(what.key);
        return this->range(request, timeout);
    }

    store_result call(const read_prefix& what, milliseconds timeout)
    {
        wire::RangeRequest request;
        request.set_key(what.prefix);
        request.set_range_end(end_of_prefix(what.prefix));
        return this->range(request, timeout);
    }

    store_result call(const compare_and_swap& what, milliseconds timeout)
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        wire::TxnResponse answer;
        const auto status = this->values->Txn(&context, to_transaction(what), &answer);
        return to_result(status, answer);
    }

private:
    store_result range(const wire::RangeRequest& request, milliseconds timeout)
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        wire::RangeResponse answer;
        const auto status = this->values->Range(&context, request, &answer);
        return to_result(status, answer);
    }

    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::KV::Stub> values;
};

etcd_client::etcd_client(const std::string& address) : service{std::make_unique<stubs>(address)} {}

etcd_client::~etcd_client() = default;

store_result etcd_client::call(const store_call& what, milliseconds timeout)
{
    return std::visit([&](const auto& one) { return this->service->call(one, timeout); }, what);
}

} // namespace figreach
