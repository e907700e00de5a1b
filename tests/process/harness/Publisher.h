#pragma once

#include "NodeProcess.h"

#include <cstdint>
#include <string>

namespace carobpath::harness {

/// Signs records of a member and appends them to the log as the operators' client does, one step at a time, so that a
/// test can hold a record back, append it twice or give it a stale base.
class Publisher {
public:
    Publisher(TestMember, std::string logEndpoint);

    /// \returns the text of a record with these objects. \param base the first offset that its author had not seen.
    std::string record(const std::string& objects, std::uint64_t base);

    /// \returns the status of the append; \c offset is set where it is 200.
    unsigned append(const std::string& record, std::uint64_t* offset = nullptr);

    /// \returns the offset that the log gives the next record.
    std::uint64_t next() const;

    /// Makes a record on top of all that the log holds and appends it. \returns its offset.
    std::uint64_t publish(const std::string& objects);

private:
    TestMember m_member;
    std::string m_logEndpoint;
};

}
