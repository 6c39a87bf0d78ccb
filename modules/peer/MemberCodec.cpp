#include "peer/MemberCodec.h"

#include "auburndoor_types.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// The values that wire::MemberState::places has for each pool: free places, queued requests and partial places.
constexpr std::size_t numbersPerPool = 3;

std::vector<std::string> listServices(const LoadSummary &summary)
{
    std::vector<std::string> services;
    for (const auto &pool : summary.pools) {
        services.push_back(pool.service.text());
    }
    return services;
}

/** Heartbeats carry two bytes for each number to stay within the network budget; larger numbers are sent as 32,767. */
std::int16_t clampToInt16(int number)
{
    return static_cast<std::int16_t>(std::min<int>(number, std::numeric_limits<std::int16_t>::max()));
}

std::vector<std::int16_t> listPlaces(const LoadSummary &summary)
{
    std::vector<std::int16_t> places;
    for (const auto &pool : summary.pools) {
        places.push_back(clampToInt16(pool.freePlaces));
        places.push_back(clampToInt16(pool.queued));
        places.push_back(clampToInt16(pool.partialPlaces));
    }
    return places;
}

bool hasAllFields(const wire::MemberState &state)
{
    const auto &isSet = state.__isset;
    return isSet.id && isSet.incarnation && isSet.peerAddress && isSet.failureDomain && isSet.region && isSet.configurationVersion
           && isSet.isLeaving && isSet.sequence && isSet.services && isSet.places;
}

/** Updates the pools of a summary. @return false if the number of values does not match the number of services */
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
    const auto hasChanged = [&](const auto &readField) { return !previous_ || readField(*previous_) != readField(member); };
    const auto setIfChanged = [&](const auto &readField, const auto &setField) {
        if (hasChanged(readField)) {
            setField(readField(member));
        }
    };
    setIfChanged([](const Member &source) { return source.id.text(); }, [&](const auto &value) { state.__set_id(value); });
    setIfChanged([](const Member &source) { return source.incarnation; }, [&](auto value) { state.__set_incarnation(value); });
    setIfChanged([](const Member &source) { return source.peerAddress; },
                 [&](const auto &value) { state.__set_peerAddress(value); });
    setIfChanged([](const Member &source) { return source.failureDomain.text(); },
                 [&](const auto &value) { state.__set_failureDomain(value); });
    setIfChanged([](const Member &source) { return source.region.text(); }, [&](const auto &value) { state.__set_region(value); });
    setIfChanged([](const Member &source) { return source.configurationVersion; },
                 [&](auto value) { state.__set_configurationVersion(value); });
    setIfChanged([](const Member &source) { return source.isLeaving; }, [&](auto value) { state.__set_isLeaving(value); });
    setIfChanged([](const Member &source) { return source.summary.sequence; }, [&](auto value) { state.__set_sequence(value); });
    const auto services = listServices(member.summary);
    const bool haveServicesChanged = !previous_ || listServices(previous_->summary) != services;
    const auto places = listPlaces(member.summary);
    if (haveServicesChanged) {
        state.__set_services(services);
    }
    if (haveServicesChanged || listPlaces(previous_->summary) != places) {
        state.__set_places(places);
    }
    previous_ = member;
    return state;
}

std::optional<Member> MemberDecoder::decode(const wire::MemberState &state)
{
    if (!previous_ && !hasAllFields(state)) {
        return std::nullopt;
    }
    auto member = previous_.value_or(Member());
    const auto &isSet = state.__isset;
    if (isSet.id) {
        member.id = InstanceId(state.id);
    }
    if (isSet.incarnation) {
        member.incarnation = state.incarnation;
    }
    if (isSet.peerAddress) {
        member.peerAddress = state.peerAddress;
    }
    if (isSet.failureDomain) {
        member.failureDomain = FailureDomainId(state.failureDomain);
    }
    if (isSet.region) {
        member.region = RegionId(state.region);
    }
    if (isSet.configurationVersion) {
        member.configurationVersion = state.configurationVersion;
    }
    if (isSet.isLeaving) {
        member.isLeaving = state.isLeaving;
    }
    if (isSet.sequence) {
        member.summary.sequence = state.sequence;
    }
    if (member.id.isEmpty() || !applyPools(state, member.summary)) {
        return std::nullopt;
    }
    previous_ = member;
    return member;
}

} // namespace auburndoor
