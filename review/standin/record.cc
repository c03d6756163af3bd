#include "record.hh"

namespace figreach::review {

record::record(const std::filesystem::path& file) : out{file}, begun{monotonic_time::clock::now()}
{
}

void record::line(const std::string& text)
{
    this->out << this->elapsed().count() << " " << text << "\n" << std::flush;
}

milliseconds record::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(monotonic_time::clock::now() - this->begun);
}

} // namespace figreach::review
