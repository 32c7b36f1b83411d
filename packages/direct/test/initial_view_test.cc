#include "coltsfoottide/direct/initial_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class InitialViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InitialViewTest);
  CPPUNIT_TEST(OneSourceIsNotEnough);
  CPPUNIT_TEST(StoreIsEnoughWithoutOtherEntries);
  CPPUNIT_TEST(MissingSourceIsNotWaitedForLong);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a restarted entry that answers by a view older than the one that its
  // earlier process acted on: each source alone may be behind.
  void OneSourceIsNotEnough() {
    InitialView by_peer(kStart);
    by_peer.OnPeerView();
    CPPUNIT_ASSERT(!by_peer.Settled(true, kStart + Ms(100)));
    by_peer.OnStoreView();
    CPPUNIT_ASSERT(by_peer.Settled(true, kStart + Ms(100)));
    InitialView by_store(kStart);
    by_store.OnStoreView();
    CPPUNIT_ASSERT(!by_store.Settled(true, kStart + Ms(100)));
    by_store.OnPeerView();
    CPPUNIT_ASSERT(by_store.Settled(true, kStart + Ms(100)));
  }

  // Guards against an entry that waits for others although it is the only one, and against
  // one that stops serving when it learns of another later.
  void StoreIsEnoughWithoutOtherEntries() {
    InitialView view(kStart);
    view.OnStoreView();
    CPPUNIT_ASSERT(view.Settled(false, kStart));
    CPPUNIT_ASSERT(view.Settled(true, kStart));
  }

  // Guards against an entry that does not serve while the store is away, or while all
  // others are.
  void MissingSourceIsNotWaitedForLong() {
    InitialView view(kStart);
    CPPUNIT_ASSERT(!view.Settled(true, kStart + Ms(599)));
    CPPUNIT_ASSERT(view.Settled(true, kStart + Ms(600)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InitialViewTest);

}  // namespace
}  // namespace coltsfoottide::direct
