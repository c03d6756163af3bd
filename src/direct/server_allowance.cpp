#include "figreach/direct/server_allowance.h"

namespace figreach::direct {

server_allowance::server_allowance(std::uint32_t max_servers_) : max_servers{max_servers_} {}

void server_allowance::record(const backend_server_id& server)
{
    this->known.insert(server);
}

void server_allowance::record_unknown()
{
    ++this->unknown;
}

bool server_allowance::was_sent_to(const backend_server_id& server) const
{
    return this->known.contains(server);
}

bool server_allowance::allows(const backend_server_id& server) const
{
    return this->allows_another() ||
           (this->was_sent_to(server) && this->used() <= this->max_servers);
}

bool server_allowance::allows_another() const
{
    return this->used() < this->max_servers;
}

std::size_t server_allowance::used() const
{
    return this->known.size() + this->unknown;
}

} // namespace figreach::direct
