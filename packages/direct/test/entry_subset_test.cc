#include "coltsfoottide/direct/entry_subset.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace coltsfoottide::direct {
namespace {

std::string DataCentre(int n) { return "dc-" + std::to_string(n); }

std::vector<EntryAddress> Entries(int data_centres, int each) {
  std::vector<EntryAddress> entries;
  for (int dc = 0; dc < data_centres; ++dc) {
    for (int i = 0; i < each; ++i) {
      entries.push_back({"10." + std::to_string(dc) + ".0." + std::to_string(i), DataCentre(dc)});
    }
  }
  return entries;
}

std::string Agent(int data_centre, int n) {
  return "10." + std::to_string(data_centre) + ".1." + std::to_string(n);
}

class EntrySubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntrySubsetTest);
  CPPUNIT_TEST(SmallFleetIsFullyConnected);
  CPPUNIT_TEST(LinksAreBoundedAndEveryEntryHasAgents);
  CPPUNIT_TEST(UnknownDataCentreIsIncluded);
  CPPUNIT_TEST(LostEntryMovesFewLinks);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a backend server that some entry of a small fleet cannot use.
  void SmallFleetIsFullyConnected() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{13}, ChooseEntries("a", "dc-0", Entries(1, 13)).size());
    CPPUNIT_ASSERT(ChooseEntries("a", "dc-0", {}).empty());
  }

  // Five data centres of 7 entries and 32 agents, and 18 of 12 and 944. Guards
  // against links that grow with the fleet, and against an entry that has far
  // fewer agents than others of its data centre.
  void LinksAreBoundedAndEveryEntryHasAgents() {
    struct Fleet {
      int data_centres;
      int entries;
      int agents;
    };
    for (const Fleet& fleet : {Fleet{5, 7, 32}, Fleet{18, 12, 944}}) {
      const auto entries = Entries(fleet.data_centres, fleet.entries);
      std::map<std::string, int> agents_of;
      int links = 0;
      for (int dc = 0; dc < fleet.data_centres; ++dc) {
        for (int i = 0; i < fleet.agents; ++i) {
          const auto chosen = ChooseEntries(Agent(dc, i), DataCentre(dc), entries);
          CPPUNIT_ASSERT(chosen.size() <= 12);
          links += static_cast<int>(chosen.size());
          for (const std::string& it : chosen) ++agents_of[it];
        }
      }
      CPPUNIT_ASSERT_EQUAL(entries.size(), agents_of.size());
      const int mean = links / static_cast<int>(entries.size());
      for (const auto& [entry, agents] : agents_of) CPPUNIT_ASSERT(agents * 10 >= mean * 7);
    }
  }

  // Guards against an entry of the settings that is never dialed, and so never
  // says where it is.
  void UnknownDataCentreIsIncluded() {
    auto entries = Entries(5, 7);
    entries.push_back({"10.9.0.1", ""});
    CPPUNIT_ASSERT(ChooseEntries("a", "dc-0", entries).contains("10.9.0.1"));
  }

  // Guards against many connections that open at once when one entry leaves:
  // an agent replaces the lost entry by one other and keeps the rest.
  void LostEntryMovesFewLinks() {
    CPPUNIT_ASSERT(rc::check("a lost entry moves one link of an agent at most", [] {
      auto entries = Entries(*rc::gen::inRange(2, 20), *rc::gen::inRange(9, 20));
      const std::string agent = Agent(0, *rc::gen::inRange(0, 1000));
      const auto before = ChooseEntries(agent, "dc-0", entries);
      const auto lost =
          entries.begin() + *rc::gen::inRange<int>(0, static_cast<int>(entries.size()));
      const std::string name = lost->name;
      entries.erase(lost);
      const auto after = ChooseEntries(agent, "dc-0", entries);
      std::vector<std::string> added;
      std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                          std::back_inserter(added));
      RC_ASSERT(added.size() <= (before.contains(name) ? 1U : 0U));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySubsetTest);

}  // namespace
}  // namespace coltsfoottide::direct
