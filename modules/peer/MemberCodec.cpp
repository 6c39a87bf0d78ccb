#include "peer/MemberCodec.h"

#include "auburndoor_types.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

/** Numbers that are sent for each pool. */
constexpr std::size_t numbersPerPool = 3;

std::vector<std::string> servicesOf(const LoadSummary &summary)
{
    std::vector<std::string> services;
    for (const auto &pool : summary.pools) {
        services.push_back(pool.service.text());
    }
    return services;
}

/** Two bytes a number keep heartbeats within their share of the network budget; more room than fits makes no difference. */
std::int16_t saturated(int number)
{
    return static_cast<std::int16_t>(std::min<int>(number, std::numeric_limits<std::int16_t>::max()));
}

std::vector<std::int16_t> placesOf(const LoadSummary &summary)
{
    std::vector<std::int16_t> places;
    for (const auto &pool : summary.pools) {
        places.push_back(saturated(pool.freePlaces));
        places.push_back(saturated(pool.queued));
        places.push_back(saturated(pool.partialPlaces));
    }
    return places;
}

bool isComplete(const wire::MemberState &state)
{
    const auto &set = state.__isset;
    return set.id && set.incarnation && set.peerAddress && set.failureDomain && set.region && set.configurationVersion
           && set.isLeaving && set.sequence && set.services && set.places;
}

bool applyPools(const wire::MemberState &state, LoadSummary &summary)
{
    if (state.__isset.services) {
        summary.pools.clear();
        for (const auto &service : state.services) {
            summary.pools.push_back({ ServiceId(service), 0, 0, 0 });
        }
    }
    if (!state.__isset.places) {
        return !state.__isset.services;
    }
    if (state.places.size() != numbersPerPool * summary.pools.size()) {
        return false;
    }
    for (std::size_t index = 0; index < summary.pools.size(); ++index) {
        const auto first = numbersPerPool * index;
        summary.pools[index].freePlaces = state.places[first];
        summary.pools[index].queued = state.places[first + 1];
        summary.pools[index].partialPlaces = state.places[first + 2];
    }
    return true;
}

} // namespace

wire::MemberState MemberEncoder::encode(const Member &member)
{
    wire::MemberState state;
    const auto isNew = [&](const auto &field) { return !last_ || field(*last_) != field(member); };
    const auto put = [&](const auto &field, const auto &set) {
        if (isNew(field)) {
            set(field(member));
        }
    };
    put([](const Member &m) { return m.id.text(); }, [&](const auto &value) { state.__set_id(value); });
    put([](const Member &m) { return m.incarnation; }, [&](auto value) { state.__set_incarnation(value); });
    put([](const Member &m) { return m.peerAddress; }, [&](const auto &value) { state.__set_peerAddress(value); });
    put([](const Member &m) { return m.failureDomain.text(); }, [&](const auto &value) { state.__set_failureDomain(value); });
    put([](const Member &m) { return m.region.text(); }, [&](const auto &value) { state.__set_region(value); });
    put([](const Member &m) { return m.configurationVersion; }, [&](auto value) { state.__set_configurationVersion(value); });
    put([](const Member &m) { return m.isLeaving; }, [&](auto value) { state.__set_isLeaving(value); });
    put([](const Member &m) { return m.summary.sequence; }, [&](auto value) { state.__set_sequence(value); });
    const auto services = servicesOf(member.summary);
    const bool hasNewServices = !last_ || servicesOf(last_->summary) != services;
    const auto places = placesOf(member.summary);
    if (hasNewServices) {
        state.__set_services(services);
    }
    if (hasNewServices || placesOf(last_->summary) != places) {
        state.__set_places(places);
    }
    last_ = member;
    return state;
}

std::optional<Member> MemberDecoder::decode(const wire::MemberState &state)
{
    if (!last_ && !isComplete(state)) {
        return std::nullopt;
    }
    auto member = last_.value_or(Member());
    const auto &set = state.__isset;
    if (set.id) {
        member.id = InstanceId(state.id);
    }
    if (set.incarnation) {
        member.incarnation = state.incarnation;
    }
    if (set.peerAddress) {
        member.peerAddress = state.peerAddress;
    }
    if (set.failureDomain) {
        member.failureDomain = FailureDomainId(state.failureDomain);
    }
    if (set.region) {
        member.region = RegionId(state.region);
    }
    if (set.configurationVersion) {
        member.configurationVersion = state.configurationVersion;
    }
    if (set.isLeaving) {
        member.isLeaving = state.isLeaving;
    }
    if (set.sequence) {
        member.summary.sequence = state.sequence;
    }
    if (member.id.isEmpty() || !applyPools(state, member.summary)) {
        return std::nullopt;
    }
    last_ = member;
    return member;
}

} // namespace auburndoor
