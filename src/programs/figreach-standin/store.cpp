#include "store.h"

#include <map>
#include <mutex>
#include <stdexcept>

#include <grpcpp/grpcpp.h>

#include "etcd.grpc.pb.h"

namespace figreach::standin {

namespace wire = etcdserverpb;

class store::service final : public wire::KV::Service {
public:
    explicit service(const std::string& address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        if (!this->server) {
            throw std::runtime_error{"cannot listen at " + address};
        }
    }

    grpc::Status Range(grpc::ServerContext*, const wire::RangeRequest* request,
                       wire::RangeResponse* answer) override
    {
        const std::lock_guard lock{this->guard};
        this->range(*request, *answer);
        return grpc::Status::OK;
    }

    grpc::Status Txn(grpc::ServerContext*, const wire::TxnRequest* request,
                     wire::TxnResponse* answer) override
    {
        const std::lock_guard lock{this->guard};
        bool holds = true;
        for (const auto& one : request->compare()) {
            holds = holds && this->compares(one);
        }
        answer->set_succeeded(holds);
        for (const auto& one : holds ? request->success() : request->failure()) {
            this->carry_out(one, *answer->add_responses());
        }
        answer->mutable_header()->set_revision(this->revision);
        return grpc::Status::OK;
    }

private:
    bool compares(const wire::Compare& one) const
    {
        const auto found = this->values.find(one.key());
        const auto present = found == this->values.end() ? 0 : found->second.mod_revision();
        return one.target() == wire::Compare::MOD && one.result() == wire::Compare::EQUAL &&
               present == one.mod_revision();
    }

    void carry_out(const wire::RequestOp& one, wire::ResponseOp& answer)
    {
        if (one.has_request_put()) {
            this->put(one.request_put());
            answer.mutable_response_put()->mutable_header()->set_revision(this->revision);
        }
        if (one.has_request_range()) {
            this->range(one.request_range(), *answer.mutable_response_range());
        }
    }

    void put(const wire::PutRequest& request)
    {
        ++this->revision;
        auto& value = this->values[request.key()];
        if (value.version() == 0) {
            value.set_key(request.key());
            value.set_create_revision(this->revision);
        }
        value.set_value(request.value());
        value.set_version(value.version() + 1);
        value.set_mod_revision(this->revision);
    }

    void range(const wire::RangeRequest& request, wire::RangeResponse& answer) const
    {
        answer.mutable_header()->set_revision(this->revision);
        if (request.range_end().empty()) {
            const auto found = this->values.find(request.key());
            if (found != this->values.end()) {
                *answer.add_kvs() = found->second;
            }
        }
        else {
            auto one = this->values.lower_bound(request.key());
            for (; one != this->values.end() && one->first < request.range_end(); ++one) {
                *answer.add_kvs() = one->second;
            }
        }
        answer.set_count(answer.kvs_size());
    }

    std::mutex guard;
    std::map<std::string, wire::KeyValue> values;
    std::int64_t revision = 1;
    std::unique_ptr<grpc::Server> server;
};

store::store(const std::string& address) : calls{std::make_unique<service>(address)} {}

store::~store() = default;

} // namespace figreach::standin
