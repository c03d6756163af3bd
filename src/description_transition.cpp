#include "figreach/description_transition.h"

#include <utility>

namespace figreach {

namespace {

/// Collects the faults of one change of the description.
class transition_check {
public:
    transition_check(const description& before_, const description& after_, std::string file_)
        : before{before_}, after{after_}, file{std::move(file_)}
    {
    }

    fault_list run()
    {
        for (const auto& one : this->after.services) {
            const auto* old = find_service(this->before, one.name);
            if (old != nullptr) {
                this->check(*old, one);
            }
        }
        for (const auto& one : this->after.backend_servers) {
            const auto* old = find_server(this->before, one.name);
            if (old != nullptr && receives_work(this->before, *old)) {
                this->check(*old, one);
            }
        }
        return std::move(this->faults);
    }

private:
    /// The number of partitions determines the partition of a key. If it changed, two partition
    /// documents would temporarily assign the same key.
    void check(const service& old, const service& now)
    {
        const auto path = "service '" + now.name.value + "'.";
        if (now.partitions != old.partitions) {
            this->add(path + "partitions", std::to_string(now.partitions),
                      std::to_string(old.partitions) + ", as before; describe a new service for "
                                                       "another number");
        }
    }

    /// The process at the old address may serve its keys until its grant expires.
    void check(const backend_server& old, const backend_server& now)
    {
        const auto path = "backend_server '" + now.name.value + "'.";
        if (now.address != old.address) {
            this->add(path + "address", "'" + now.address + "'",
                      "'" + old.address + "' until the server is drained, or a new name");
        }
        if (now.service != old.service) {
            this->add(path + "service", "'" + now.service.value + "'",
                      "'" + old.service.value + "' until the server is drained, or a new name");
        }
    }

    void add(std::string key, std::string found, std::string allowed)
    {
        this->faults.push_back({.file = this->file,
                                .line = 0,
                                .key = std::move(key),
                                .found = std::move(found),
                                .allowed = std::move(allowed)});
    }

    const description& before;
    const description& after;
    std::string file;
    fault_list faults;
};

} // namespace

fault_list transition_faults(const description& before, const description& after,
                             const std::string& file)
{
    return transition_check{before, after, file}.run();
}

} // namespace figreach
